#include "hemlockvane/detail/traffic/RunRequest.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/detail/traffic/Authenticate.h"
#include "hemlockvane/detail/traffic/QueueRequest.h"
#include "hemlockvane/detail/traffic/RequestDispatch.h"
#include "hemlockvane/detail/traffic/TrafficState.h"
#include "hemlockvane/routing/ChooseExecutor.h"
#include "hemlockvane/routing/FailedAttempt.h"
#include "hemlockvane/routing/RetryDecision.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration connectTimeout { 1000 };
constexpr Duration minimumAttemptTimeout { 1000 };
constexpr int meanRunTimeFactor = 5; // A repeatable attempt times out after this many mean run times.
constexpr std::size_t maximumResponseBytes = 16UL * 1024 * 1024;
constexpr unsigned firstServerError = 500;

// One attempt to send a request to an executor.
struct Attempt {
    std::string m_executor;
    std::string m_address; // Address of the executor when it was chosen.
    std::optional<HttpResponse> m_response;
    FailureReason m_reason;
    bool m_wasSent = false;
    Instant m_startedAt;
    bool m_hasResponseBegun = false;
};

auto openConnection(TrafficState& traffic, const std::string& address, FailureReason& reason)
    -> asio::awaitable<std::optional<HttpConnection>>
{
    if (auto idle = traffic.m_connections.takeIdle(address))
        co_return std::move(idle);
    auto connection = traffic.m_connections.makeNew();
    if (!co_await connection.connect(address, connectTimeout, reason))
        co_return std::nullopt;
    co_return std::move(connection);
}

auto meanRunTime(const ServiceState& service, std::string_view team) -> Duration
{
    const auto found = service.m_routing.m_meanRunTime.find(team);
    const auto seconds = found == service.m_routing.m_meanRunTime.end() ? 0.0 : found->second;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// A repeatable request does not spend all its time on one attempt, because its connection may be dead.
auto attemptTimeout(const ServiceState& service, const QueueRequest& request) -> Duration
{
    const auto remaining = request.m_deadline - monotonicNow();
    if (!request.m_isRepeatable)
        return remaining;
    const auto timeout
        = std::max(minimumAttemptTimeout, meanRunTimeFactor * meanRunTime(service, request.m_caller.m_team));
    return std::min(remaining, timeout);
}

// Opens a new connection to find out whether the executor has failed or only its old connections.
auto probe(TrafficState& traffic, std::string serviceName, std::string executor, std::string address)
    -> asio::awaitable<void>
{
    FailureReason reason;
    auto connection = traffic.m_connections.makeNew();
    const auto isReachable = co_await connection.connect(address, connectTimeout, reason);
    auto* service = findService(traffic, serviceName);
    if (service == nullptr)
        co_return;
    logOf("routing").warn(
        "probe of {}: {}", executor, isReachable ? "reachable, old connections closed" : reason.m_text);
    if (isReachable)
        recordNeutral(service->m_routing, executor);
    else
        recordFailure(service->m_routing, executor, monotonicNow());
}

auto concernsExecutor(const Attempt& attempt) -> bool
{
    return attempt.m_wasSent || attempt.m_reason.m_kind == ErrorKind::NoCapacity;
}

// Records the result of an attempt in the routing state of its executor.
auto recordAttempt(TrafficState& traffic, ServiceState& service, const QueueRequest& request, const Attempt& attempt)
    -> void
{
    const auto now = monotonicNow();
    if (!concernsExecutor(attempt)) {
        recordNeutral(service.m_routing, attempt.m_executor);
        return;
    }
    if (attempt.m_response && attempt.m_response->m_status < firstServerError) {
        recordAnswer(service.m_routing, attempt.m_executor, request.m_caller.m_team, now - attempt.m_startedAt, now);
        return;
    }
    // An incomplete response is a failure of the executor. No response at all may be a failure of the connection only.
    if (attempt.m_response || !attempt.m_wasSent || attempt.m_hasResponseBegun) {
        recordFailure(service.m_routing, attempt.m_executor, now);
        return;
    }
    traffic.m_connections.dropIdle(attempt.m_address);
    asio::co_spawn(
        traffic.m_context, probe(traffic, service.m_service, attempt.m_executor, attempt.m_address), asio::detached);
}

auto send(TrafficState& traffic, ServiceState& service, const QueueRequest& request, Attempt& attempt)
    -> asio::awaitable<void>
{
    auto connection = co_await openConnection(traffic, attempt.m_address, attempt.m_reason);
    if (!connection)
        co_return;
    // The coroutine does not suspend between this check and sending the first byte.
    if (!mayStillSend(*currentView(traffic), request.m_caller, request.m_deadline, monotonicNow(), attempt.m_reason)) {
        traffic.m_connections.giveBack(attempt.m_address, std::move(*connection), service.m_maximumIdleConnections);
        co_return;
    }
    logOf("routing").info("{} {} {} of team '{}' to {}", request.m_queue, request.m_message.m_method,
        request.m_message.m_target, request.m_caller.m_team, attempt.m_executor);
    attempt.m_wasSent = true;
    const auto timeout = attemptTimeout(service, request);
    attempt.m_response
        = co_await connection->exchange(request.m_message, timeout, maximumResponseBytes, attempt.m_reason);
    attempt.m_hasResponseBegun = connection->hasResponseBegun();
    traffic.m_connections.giveBack(attempt.m_address, std::move(*connection), service.m_maximumIdleConnections);
}

auto failureOf(const Attempt& attempt) -> AttemptFailure
{
    return attempt.m_wasSent ? AttemptFailure::Lost : AttemptFailure::NotSent;
}

// Decides whether to make another attempt, and sets the reason of the outcome.
auto mayTryAgain(ServiceState& service, const QueueRequest& request, const Attempt& attempt, std::uint32_t attempts,
    RequestOutcome& outcome) -> bool
{
    outcome.m_reason = attempt.m_reason;
    const auto isRefusedByThisEntry = !concernsExecutor(attempt);
    if (isRefusedByThisEntry)
        return false;
    const FailedAttempt failedAttempt { failureOf(attempt), request.m_isRepeatable, attempts, request.m_deadline,
        meanRunTime(service, request.m_caller.m_team) };
    const auto decision = decideRetry(failedAttempt, service.m_retryBudget, monotonicNow());
    outcome.m_reason.m_kind = decision.m_answer;
    return decision.m_retry;
}

} // namespace

auto runRequest(TrafficState& traffic, const QueueRequest& request) -> asio::awaitable<RequestOutcome>
{
    RequestOutcome outcome;
    std::vector<std::string> tried;
    auto* service = findService(traffic, request.m_queue);
    if (service == nullptr) {
        fail(outcome.m_reason, ErrorKind::NoCapacity, "no executor of service " + request.m_queue + " is known");
        co_return outcome;
    }
    earnRetry(service->m_retryBudget);
    while (true) {
        const auto executor
            = co_await acquireSlot(traffic, *service, request, tried, outcome.m_reason, outcome.m_retryAfter);
        if (!executor)
            co_return outcome;
        Attempt attempt { *executor, service->m_addresses[*executor], std::nullopt, {}, false, monotonicNow() };
        co_await send(traffic, *service, request, attempt);
        recordAttempt(traffic, *service, request, attempt);
        releaseSlot(traffic, *service, request.m_caller.m_team, *executor, monotonicNow() - attempt.m_startedAt);
        tried.push_back(*executor);
        outcome.m_mayHaveRun = outcome.m_mayHaveRun || attempt.m_wasSent;
        if (attempt.m_response) {
            outcome.m_response = std::move(attempt.m_response);
            co_return outcome;
        }
        const auto attempts = static_cast<std::uint32_t>(tried.size());
        if (!mayTryAgain(*service, request, attempt, attempts, outcome))
            co_return outcome;
        traffic.m_metrics.count("request_retries_total");
    }
}

} // namespace hemlockvane::detail
