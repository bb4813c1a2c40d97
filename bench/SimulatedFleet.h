#pragma once

#include "hemlockvane/log.h"

#include "hemlockvane/records.pb.h"

#include <string>

namespace hemlockvane::bench {

/// @brief Size and layout of a fleet.
struct FleetShape {
    std::string m_name;
    std::uint32_t m_workers = 0;
    std::uint32_t m_cores = 0;
    std::uint32_t m_memoryMb = 0;
    std::uint32_t m_pools = 0;
    std::uint32_t m_zones = 0;
    std::uint32_t m_rackSize = 4;
};

/// @brief A fleet state in virtual time that is changed only by folded operations.
struct SimulatedFleet {
    FleetState m_state;
    WallMillis m_now = 1'000'000;
    std::uint64_t m_nextId = 0;
    Offset m_placementEpoch = 0;
    Offset m_maintenanceEpoch = 0;

    /// @brief Adds one entry, which holds the duties, and the workers.
    ///
    /// Workers are assigned to pools, and racks to zones, round-robin; pool 0 is the spare pool.
    explicit SimulatedFleet(const FleetShape& shape);

    /// @brief Folds an operation, stamped with the present virtual time.
    auto fold(wire::Operation operation) -> OperationResult;
    /// @brief Sets a default, or an exception if `scope` is not empty.
    auto changeSetting(const std::string& setting, const std::string& scope, std::int64_t value) -> void;
    auto markAvailable(const std::string& instance, bool available) -> void;
    auto now() const -> Instant { return Instant(Duration(m_now)); }
};

auto poolName(std::uint32_t index) -> std::string;
auto makeFence(std::string_view duty, Offset epoch) -> wire::Fence;

} // namespace hemlockvane::bench
