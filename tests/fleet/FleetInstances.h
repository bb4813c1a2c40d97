#pragma once

#include "FleetInstance.h"
#include "FleetSite.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockvane::fleetrun {

class FleetRecord;

/// @brief The processes of the product, with settings files as the users' platform writes them.
class FleetInstances {
public:
    /// @param program path of hemlockvane
    /// @param folder for settings and logs
    /// @param basePort first of eight free ports
    FleetInstances(FleetRecord& record, std::string program, std::string folder, std::uint16_t basePort);
    ~FleetInstances();
    FleetInstances(const FleetInstances&) = delete;
    auto operator=(const FleetInstances&) -> FleetInstances& = delete;

    auto add(const FleetSite& site) -> void;
    auto start(std::size_t index) -> void;

    /// @brief Sends a signal; after SIGKILL the process has ended when this returns.
    auto signal(std::size_t index, int number) -> void;

    /// @brief Collects processes that have ended by themselves or on SIGTERM.
    auto reap() -> void;

    auto instances() -> std::vector<FleetInstance>& { return m_instances; }
    [[nodiscard]] auto frontAddress(std::size_t index) const -> std::string;
    [[nodiscard]] auto readinessAddress(std::size_t index) const -> std::string;

    /// @result addresses of all listening ports of an instance
    [[nodiscard]] auto addresses(std::size_t index) const -> std::vector<std::string>;

    /// @brief Checks that each process lives and has stayed within the memory and the descriptors of its machine.
    /// @result a line for each violation
    [[nodiscard]] auto findOverLimits() const -> std::vector<std::string>;

    std::string m_storeAddress;
    std::string m_machinesAddress;
    int m_memoryMb = 260; ///< Of each machine.

private:
    auto noteMemory(const FleetInstance& instance) -> void;
    [[nodiscard]] auto settingsOf(const FleetInstance& instance) const -> std::string;
    [[nodiscard]] auto port(int which) const -> std::string;

    FleetRecord& m_record;
    std::string m_program;
    std::string m_folder;
    std::uint16_t m_basePort;
    std::string m_region;
    std::int64_t m_longestHoldMs = 0;
    std::int64_t m_longestStopMs = 0;
    std::vector<FleetInstance> m_instances;
    std::vector<std::string> m_overMemory; ///< A line for each process that was killed.
};

} // namespace hemlockvane::fleetrun
