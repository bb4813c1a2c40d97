#pragma once

#include "hemlockvane/detail/coordinator/JobStatusResult.h"
#include "hemlockvane/detail/intake/IntakeOutcome.h"
#include "hemlockvane/scheduling/JobSpec.h"
#include "hemlockvane/time/Time.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hemlockvane::detail {

class Coordinator;
class HttpPool;
class OwnerElection;
class RecordStore;

/// @brief Takes submissions and cancellations into the store, and asks the owner for states.
class JobIntake {
public:
    /// @param owned this instance's ownership; null while another instance owns the work
    JobIntake(RecordStore& store, HttpPool& peers, const OwnerElection& election,
        std::function<std::shared_ptr<Coordinator>()> owned);

    /// @brief Stores a submission. The same one again is one job.
    /// @param deadline nothing is tried after it
    auto submit(scheduling::JobId id, std::string queue, std::string workspace, std::string body, Instant deadline)
        -> boost::asio::awaitable<IntakeOutcome>;

    /// @brief Stores a cancellation.
    auto cancel(scheduling::JobId id, Instant deadline) -> boost::asio::awaitable<IntakeOutcome>;

    /// @result empty when it cannot be told now
    auto statusOf(scheduling::JobId id) -> boost::asio::awaitable<std::optional<JobStatusResult>>;

    /// @result empty when it cannot be told now
    auto countWaitingJobs(std::string queue) -> boost::asio::awaitable<std::optional<std::size_t>>;

private:
    auto store(std::string key, std::string value, Instant deadline) -> boost::asio::awaitable<IntakeOutcome>;
    auto askOwner(std::string target) -> boost::asio::awaitable<std::optional<std::string>>;

    RecordStore& m_store;
    HttpPool& m_peers;
    const OwnerElection& m_election;
    std::function<std::shared_ptr<Coordinator>()> m_ownedCoordinator;
};

} // namespace hemlockvane::detail
