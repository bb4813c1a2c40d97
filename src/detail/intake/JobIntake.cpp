#include "hemlockvane/detail/intake/JobIntake.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/Coordinator.h"
#include "hemlockvane/detail/coordinator/OwnerElection.h"
#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/coordinator/Submissions.h"
#include "hemlockvane/detail/http/HttpPool.h"
#include "hemlockvane/detail/intake/AdmitJob.h"
#include "hemlockvane/detail/intake/OwnerApi.h"
#include "hemlockvane/detail/ports/RecordStore.h"
#include "hemlockvane/scheduling.pb.h"

#include <charconv>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration ownerTimeout { 500 }; // An owner answers within a few milliseconds, otherwise it is unreachable.
constexpr unsigned statusOk = 200;

auto parseNumber(const std::string& text) -> std::optional<std::size_t>
{
    std::size_t number = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc {} || result.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace

JobIntake::JobIntake(asio::io_context& context, RecordStore& store, HttpPool& peers, const OwnerElection& election,
    std::function<std::shared_ptr<Coordinator>()> coordinator, StoreLimits limits)
    : m_writer(context, store, limits)
    , m_peers(peers)
    , m_election(election)
    , m_ownedCoordinator(std::move(coordinator))
{
}

auto JobIntake::mayAdmit(const std::string& workspace, std::size_t memory) -> bool
{
    const auto coordinator = m_ownedCoordinator();
    auto left = coordinator ? coordinator->jobMemory() : std::nullopt;
    if (!left)
        left = m_election.owner().m_jobMemory;
    return !left || admitJob(m_admission, *left, m_election.newestRenewal(), workspace, memory);
}

auto JobIntake::submit(scheduling::JobId id, std::string queue, std::string workspace, std::string body,
    std::size_t memory, Instant deadline) -> asio::awaitable<IntakeOutcome>
{
    const auto earlier = earlierOutcome(id);
    if (earlier == IntakeOutcome::Stored)
        co_return IntakeOutcome::Stored;
    // A job that may be stored already may also run.
    if (earlier == IntakeOutcome::Refused && !mayAdmit(workspace, memory))
        co_return IntakeOutcome::Full;
    wire::SubmissionRecord record;
    record.set_queue(std::move(queue));
    record.set_workspace(std::move(workspace));
    record.set_body(std::move(body));
    record.set_submitted_at_ms(wallNow());
    auto bytes = encodeKeyedRecord(submissionPrefix + jobIdText(id), record.SerializeAsString());
    beginSubmission(m_recent, id, monotonicNow());
    const auto outcome = co_await m_writer.store(std::move(bytes), deadline);
    co_return endSubmission(m_recent, id, outcome, monotonicNow());
}

auto JobIntake::earlierOutcome(scheduling::JobId id) -> IntakeOutcome
{
    return detail::earlierOutcome(m_recent, id, monotonicNow());
}

auto JobIntake::cancel(scheduling::JobId id, Instant deadline) -> asio::awaitable<IntakeOutcome>
{
    // Any value that is not empty: an empty one would delete the key.
    auto bytes = encodeKeyedRecord(cancellationPrefix + jobIdText(id), "1");
    co_return co_await m_writer.store(std::move(bytes), deadline);
}

auto JobIntake::askOwner(std::string target) -> asio::awaitable<std::optional<std::string>>
{
    const auto address = m_election.owner().m_address;
    if (address.empty())
        co_return std::nullopt;
    HttpRequest request;
    request.m_target = std::move(target);
    FailureReason reason;
    auto response = co_await m_peers.call(address, std::move(request), ownerTimeout, reason);
    if (!response || response->m_status != statusOk)
        co_return std::nullopt;
    co_return std::move(response->m_body);
}

auto JobIntake::statusOf(scheduling::JobId id) -> asio::awaitable<std::optional<JobStatusResult>>
{
    if (const auto coordinator = m_ownedCoordinator())
        co_return co_await coordinator->statusOf(id);
    auto target = std::string(statusPath) + jobIdText(id);
    const auto text = co_await askOwner(std::move(target));
    co_return text ? decodeJobStatus(*text) : std::nullopt;
}

auto JobIntake::countWaitingJobs(std::string queue) -> asio::awaitable<std::optional<std::size_t>>
{
    if (const auto coordinator = m_ownedCoordinator())
        co_return coordinator->countWaitingJobs(queue);
    auto target = std::string(waitingPath) + queue;
    const auto text = co_await askOwner(std::move(target));
    co_return text ? parseNumber(*text) : std::nullopt;
}

} // namespace hemlockvane::detail
