#include "hemlockvane/detail/traffic/RequestPath.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/http/ErrorResponse.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/detail/traffic/Authenticate.h"
#include "hemlockvane/detail/traffic/ClaimedRequest.h"
#include "hemlockvane/detail/traffic/QueueRequest.h"
#include "hemlockvane/detail/traffic/TrafficShell.h"

#include <algorithm>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration connectTimeout { 1000 };
constexpr std::size_t maximumAnswerBytes = 16UL * 1024 * 1024;

// Executors of a service that take new requests, those in this entry's zone first, then the least busy.
auto candidatesFor(const TrafficShell& shell, const TrafficView& view, std::string_view service)
    -> std::vector<const ListedInstance*>
{
    std::vector<const ListedInstance*> candidates;
    for (const auto& instance : *view.m_listed) {
        if (instance.m_kind == "executor" && instance.m_service == service && !instance.m_isLeaving)
            candidates.push_back(&instance);
    }
    const auto inFlight = [&](const ListedInstance* instance) {
        const auto found = shell.m_inFlight.find(instance->m_address);
        return found == shell.m_inFlight.end() ? 0 : found->second;
    };
    std::stable_sort(candidates.begin(), candidates.end(),
        [&](const auto* left, const auto* right) { return inFlight(left) < inFlight(right); });
    return candidates;
}

auto openConnection(TrafficShell& shell, const std::string& address, LastReason& reason)
    -> asio::awaitable<std::optional<HttpConnection>>
{
    if (auto idle = shell.m_connections.takeIdle(address))
        co_return std::move(idle);
    auto connection = shell.m_connections.makeNew();
    if (!co_await connection.connect(address, connectTimeout, reason))
        co_return std::nullopt;
    co_return std::move(connection);
}

// One dispatch to one executor.
auto dispatch(TrafficShell& shell, const QueueRequest& request, const ListedInstance& executor, LastReason& reason)
    -> asio::awaitable<std::optional<HttpResponse>>
{
    auto connection = co_await openConnection(shell, executor.m_address, reason);
    if (!connection)
        co_return std::nullopt;
    const auto left = request.m_deadline - monotonicNow();
    if (left <= Duration::zero()) {
        fail(reason, ErrorKind::DeadlinePassed, "the deadline passed before the request was sent");
        co_return std::nullopt;
    }
    logOf("routing").info("{} {} of team '{}' to {} in {}", request.m_queue, request.m_message.m_target,
        request.m_caller.m_team, executor.m_id, executor.m_zone);
    ++shell.m_inFlight[executor.m_address];
    auto response = co_await connection->exchange(request.m_message, left, maximumAnswerBytes, reason);
    --shell.m_inFlight[executor.m_address];
    if (response)
        shell.m_connections.giveBack(executor.m_address, std::move(*connection));
    else
        shell.m_connections.dropIdle(executor.m_address);
    co_return response;
}

auto toResponse(HttpResponse answer) -> HttpResponse
{
    std::erase_if(answer.m_headers, [](const HttpHeader& header) {
        return header.m_name == "Connection" || header.m_name == "Transfer-Encoding"
            || header.m_name == "Content-Length" || header.m_name == "Keep-Alive";
    });
    return answer;
}

auto sendToService(TrafficShell& shell, const QueueRequest& request, LastReason& reason)
    -> asio::awaitable<std::optional<HttpResponse>>
{
    fail(reason, ErrorKind::NoCapacity, "no executor of service " + request.m_queue + " takes requests");
    const auto view = currentView(shell);
    for (const auto* executor : candidatesFor(shell, *view, request.m_queue)) {
        auto response = co_await dispatch(shell, request, *executor, reason);
        const auto mayRetry = reason.m_kind == ErrorKind::NoCapacity || request.m_isRepeatable;
        if (response || !mayRetry || monotonicNow() >= request.m_deadline)
            co_return response;
    }
    co_return std::nullopt;
}

// Once the bytes may have left, only a request that may be repeated is told to try again.
auto refuse(const QueueRequest& request, LastReason reason) -> HttpResponse
{
    if (reason.m_kind == ErrorKind::AnswerLost && !request.m_isRepeatable)
        reason.m_kind = ErrorKind::OutcomeUnknown;
    logOf("routing").warn("{} of team '{}' refused: {}", request.m_queue, request.m_caller.m_team, reason.m_text);
    return errorResponse(reason);
}

auto handleClaimed(TrafficShell& shell, const QueueRequest& request) -> asio::awaitable<HttpResponse>
{
    const auto claim = co_await claimRequest(shell, request);
    if (claim.m_reply)
        co_return replyResponse(*claim.m_reply);
    LastReason reason;
    auto response = co_await sendToService(shell, request, reason);
    if (response)
        response = toResponse(std::move(*response));
    const auto inDoubt = reason.m_kind == ErrorKind::AnswerLost;
    const auto failure = inDoubt ? ClaimResult::InDoubt : ClaimResult::NotRun;
    reportOutcome(shell, claim.m_ticket, response ? ClaimResult::Answered : failure, response);
    co_return response ? std::move(*response) : refuse(request, reason);
}

} // namespace

auto handleRequest(TrafficShell& shell, HttpRequest message) -> asio::awaitable<HttpResponse>
{
    const auto startedAt = monotonicNow();
    const auto view = currentView(shell);
    const auto queue = std::string(queueOf(message.m_target));
    LastReason reason;
    auto caller = authenticate(*view, message, queue, startedAt, reason);
    if (!caller)
        co_return errorResponse(reason);
    const auto fallback = effectiveValue(*view->m_configuration, "queue.deadline_ms", queue, wallNow()).m_value;
    auto request = readQueueRequest(std::move(message), queue, Duration(fallback), startedAt, reason);
    if (!request)
        co_return errorResponse(reason);
    request->m_caller = std::move(*caller);
    if (request->m_needsClaim)
        co_return co_await handleClaimed(shell, *request);
    auto response = co_await sendToService(shell, *request, reason);
    if (response)
        co_return toResponse(std::move(*response));
    co_return refuse(*request, reason);
}

} // namespace hemlockvane::detail
