#pragma once

#include "hemlockvane/detail/coordinator/CoordinatorPorts.h"
#include "hemlockvane/detail/coordinator/JobMemoryView.h"
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

/// @brief Runs the fleet's work for one term of ownership: restores the stored state, then plans, sends requests, polls
/// the executors and writes the journal.
class Coordinator : public std::enable_shared_from_this<Coordinator> {
public:
    Coordinator(boost::asio::io_context& context, const CoordinatorPorts& ports, std::uint64_t epoch);
    ~Coordinator();
    Coordinator(const Coordinator&) = delete;
    auto operator=(const Coordinator&) -> Coordinator& = delete;

    auto start(const scheduling::FleetRules& rules) -> void;
    auto stop() -> void;
    auto setRules(const scheduling::FleetRules& rules) -> void;

    /// @brief Adds a wave that the operators ordered.
    auto addWave(const fleet::WaveState& wave) -> void;

    /// @brief Status of a job. Reports a job as unknown only after reading all submissions that the store holds.
    /// @result empty when it is not known at present
    auto statusOf(scheduling::JobId id) -> boost::asio::awaitable<std::optional<JobStatusResult>>;

    /// @brief Number of accepted jobs of a queue that have not started; empty when it is not known at present.
    auto countWaitingJobs(const std::string& queue) -> std::optional<std::size_t>;

    /// @brief What this owner's memory can take of further jobs; empty until the stored ones are loaded.
    [[nodiscard]] auto jobMemory() const -> std::optional<JobMemoryView>;

private:
    auto run() -> boost::asio::awaitable<void>;

    std::shared_ptr<CoordinatorState> m_state;
};

} // namespace hemlockvane::detail
