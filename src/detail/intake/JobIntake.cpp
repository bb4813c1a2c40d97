#include "hemlockvane/detail/intake/JobIntake.h"

#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/Coordinator.h"
#include "hemlockvane/detail/coordinator/OwnerElection.h"
#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/coordinator/Submissions.h"
#include "hemlockvane/detail/http/HttpPool.h"
#include "hemlockvane/detail/intake/OwnerApi.h"
#include "hemlockvane/detail/ports/RecordStore.h"
#include "hemlockvane/scheduling.pb.h"

#include <algorithm>
#include <charconv>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration appendTimeout { 700 }; // A slow store answers within 0.5 s.
constexpr Duration retryPause { 60 }; // After an append without an answer.
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

JobIntake::JobIntake(RecordStore& store, HttpPool& peers, const OwnerElection& election,
    std::function<std::shared_ptr<Coordinator>()> coordinator)
    : m_store(store)
    , m_peers(peers)
    , m_election(election)
    , m_ownedCoordinator(std::move(coordinator))
{
}

auto JobIntake::store(std::string key, std::string value, Instant deadline) -> asio::awaitable<IntakeOutcome>
{
    StoreAppend request;
    request.m_topic = submissionTopic;
    request.m_records.push_back(encodeKeyedRecord(key, value));
    auto isUnknown = false;
    while (true) {
        const auto remaining = std::min(appendTimeout, deadline - monotonicNow());
        if (remaining <= Duration { 0 })
            co_return isUnknown ? IntakeOutcome::Unknown : IntakeOutcome::Refused;
        auto attempt = request;
        const auto result = co_await m_store.append(std::move(attempt), remaining);
        if (result.m_kind == StoreAppendKind::Stored)
            co_return IntakeOutcome::Stored;
        if (result.m_kind != StoreAppendKind::Unknown && !isUnknown)
            co_return IntakeOutcome::Refused;
        isUnknown = true;
        co_await sleepFor(retryPause);
    }
}

auto JobIntake::submit(scheduling::JobId id, std::string queue, std::string workspace, std::string body,
    Instant deadline) -> asio::awaitable<IntakeOutcome>
{
    wire::SubmissionRecord record;
    record.set_queue(std::move(queue));
    record.set_workspace(std::move(workspace));
    record.set_body(std::move(body));
    record.set_submitted_at_ms(wallNow());
    auto key = submissionPrefix + jobIdText(id);
    auto value = record.SerializeAsString();
    co_return co_await store(std::move(key), std::move(value), deadline);
}

auto JobIntake::cancel(scheduling::JobId id, Instant deadline) -> asio::awaitable<IntakeOutcome>
{
    auto key = cancellationPrefix + jobIdText(id);
    std::string value = "1"; // Any value that is not empty: an empty one would delete the key.
    co_return co_await store(std::move(key), std::move(value), deadline);
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
