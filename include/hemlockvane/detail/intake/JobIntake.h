#pragma once

#include "hemlockvane/detail/coordinator/JobStatusResult.h"
#include "hemlockvane/detail/intake/IntakeOutcome.h"
#include "hemlockvane/detail/intake/JobAdmission.h"
#include "hemlockvane/detail/intake/RecentSubmissions.h"
#include "hemlockvane/detail/intake/SubmissionWriter.h"
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

/// @brief Stores submissions and cancellations, and queries the owner for the status of jobs.
class JobIntake {
public:
    /// @param coordinator returns this instance's coordinator; null while another instance owns the work
    JobIntake(boost::asio::io_context& context, RecordStore& store, HttpPool& peers, const OwnerElection& election,
        std::function<std::shared_ptr<Coordinator>()> coordinator, StoreLimits limits = {});

    /// @brief Stores a submission. Submitting the same job again has no effect.
    /// @param memory estimate of the memory that the owner needs for the job, in bytes
    /// @param deadline time after which no further attempt is made
    /// @result what is known after this request and earlier ones for the same job
    auto submit(scheduling::JobId id, std::string queue, std::string workspace, std::string body, std::size_t memory,
        Instant deadline) -> boost::asio::awaitable<IntakeOutcome>;

    /// @brief Joint outcome of the recent requests through this instance that submitted the job.
    /// @result `Refused` if none of them may have stored it
    [[nodiscard]] auto earlierOutcome(scheduling::JobId id) -> IntakeOutcome;

    /// @brief Stores a cancellation.
    auto cancel(scheduling::JobId id, Instant deadline) -> boost::asio::awaitable<IntakeOutcome>;

    /// @brief Status of a job.
    /// @result empty when it is not known at present
    auto statusOf(scheduling::JobId id) -> boost::asio::awaitable<std::optional<JobStatusResult>>;

    /// @brief Number of accepted jobs of a queue that have not started.
    /// @result empty when it is not known at present
    auto countWaitingJobs(std::string queue) -> boost::asio::awaitable<std::optional<std::size_t>>;

private:
    auto mayAdmit(const std::string& workspace, std::size_t memory) -> bool;
    auto askOwner(std::string target) -> boost::asio::awaitable<std::optional<std::string>>;

    SubmissionWriter m_writer;
    RecentSubmissions m_recent;
    JobAdmission m_admission;
    HttpPool& m_peers;
    const OwnerElection& m_election;
    std::function<std::shared_ptr<Coordinator>()> m_ownedCoordinator;
};

} // namespace hemlockvane::detail
