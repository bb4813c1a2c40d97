#include "hemlockvane/detail/traffic/HandleRequest.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/http/ErrorResponse.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/traffic/Authenticate.h"
#include "hemlockvane/detail/traffic/ClaimedRequest.h"
#include "hemlockvane/detail/traffic/QueueRequest.h"
#include "hemlockvane/detail/traffic/RunRequest.h"
#include "hemlockvane/detail/traffic/TrafficState.h"
#include "hemlockvane/errors/ErrorAnswer.h"

#include <algorithm>
#include <array>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

// Headers of a response that are not forwarded; the server sets its own.
constexpr std::array<std::string_view, 4> hopByHopHeaders { "Connection", "Transfer-Encoding", "Content-Length",
    "Keep-Alive" };

auto withoutHopByHopHeaders(HttpResponse response) -> HttpResponse
{
    std::erase_if(response.m_headers, [](const HttpHeader& header) {
        return std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(),
            [&](auto name) { return isSameHeaderName(header.m_name, name); });
    });
    return response;
}

// The response says "not run" only when no byte of any attempt can have been sent.
auto refuse(const QueueRequest& request, const RequestOutcome& outcome) -> HttpResponse
{
    logOf("routing").warn("{} of team '{}' refused: {}, {}", request.m_queue, request.m_caller.m_team,
        errorAnswer(outcome.m_reason.m_kind).m_name, outcome.m_reason.m_text);
    return errorResponse(outcome.m_reason, !outcome.m_mayHaveRun, outcome.m_retryAfter);
}

auto handleClaimed(TrafficState& traffic, const QueueRequest& request) -> asio::awaitable<HttpResponse>
{
    const auto claim = co_await claimRequest(traffic, request);
    if (claim.m_reply)
        co_return replyResponse(*claim.m_reply);
    auto outcome = co_await runRequest(traffic, request);
    if (outcome.m_response)
        outcome.m_response = withoutHopByHopHeaders(std::move(*outcome.m_response));
    const auto failure = outcome.m_mayHaveRun ? ClaimResult::InDoubt : ClaimResult::NotRun;
    const auto result = outcome.m_response ? ClaimResult::Answered : failure;
    reportOutcome(traffic, claim.m_ticket, result, outcome.m_response);
    co_return outcome.m_response ? std::move(*outcome.m_response) : refuse(request, outcome);
}

auto readRequest(const TrafficView& view, HttpRequest message, Instant now, FailureReason& reason)
    -> std::optional<QueueRequest>
{
    const auto queue = std::string(queueOf(message.m_target));
    auto caller = authenticate(view, message, queue, now, reason);
    if (!caller)
        return std::nullopt;
    const auto fallback = effectiveValue(*view.m_configuration, "queue.deadline_ms", queue, wallNow()).m_value;
    auto request = readQueueRequest(std::move(message), queue, Duration(fallback), now, reason);
    if (request)
        request->m_caller = std::move(*caller);
    return request;
}

} // namespace

auto handleRequest(TrafficState& traffic, HttpRequest message) -> asio::awaitable<HttpResponse>
{
    FailureReason reason;
    // A refusal of a request with a key does not claim "not run": an earlier attempt with the same key may have run.
    const auto isKeyed = !findHeader(message.m_headers, "Idempotency-Key").empty();
    const auto request = readRequest(*currentView(traffic), std::move(message), monotonicNow(), reason);
    if (!request)
        co_return isKeyed ? errorResponse(reason, false, {}) : errorResponse(reason);
    if (request->m_needsClaim)
        co_return co_await handleClaimed(traffic, *request);
    auto outcome = co_await runRequest(traffic, *request);
    if (outcome.m_response)
        co_return withoutHopByHopHeaders(std::move(*outcome.m_response));
    co_return refuse(*request, outcome);
}

} // namespace hemlockvane::detail
