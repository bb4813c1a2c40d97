#pragma once

#include "hemlockvane/detail/coordinator/CoordinatorPorts.h"
#include "hemlockvane/detail/coordinator/JobStatusResult.h"
#include "hemlockvane/scheduling/JobSpec.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace hemlockvane::fleet {
struct WaveState;
}

namespace hemlockvane::scheduling {
struct FleetRules;
}

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief One ownership of the fleet's work: loads what is stored, then plans, orders, watches and records.
class Coordinator : public std::enable_shared_from_this<Coordinator> {
public:
    Coordinator(boost::asio::io_context& context, const CoordinatorPorts& ports, std::uint64_t epoch);
    ~Coordinator();
    Coordinator(const Coordinator&) = delete;
    auto operator=(const Coordinator&) -> Coordinator& = delete;

    auto start(const scheduling::FleetRules& rules) -> void;
    auto stop() -> void;
    auto setRules(const scheduling::FleetRules& rules) -> void;

    /// @brief Takes in an operators' wave.
    auto addWave(const fleet::WaveState& wave) -> void;

    /// @brief State of a job; asks the store before it says that there is none.
    /// @result empty when it cannot be told now
    auto statusOf(scheduling::JobId id) -> boost::asio::awaitable<std::optional<JobStatusResult>>;

    /// @brief Accepted jobs of a queue that have not begun; empty when it cannot be told now.
    auto countWaitingJobs(const std::string& queue) -> std::optional<std::size_t>;

private:
    auto run() -> boost::asio::awaitable<void>;

    std::shared_ptr<CoordinatorState> m_state;
};

} // namespace hemlockvane::detail
