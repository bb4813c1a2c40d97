#include "hemlockvane/detail/traffic/ClaimedRequest.h"

#include "hemlockvane/detail/control/ClaimsDriver.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/http/ErrorResponse.h"
#include "hemlockvane/detail/traffic/QueueRequest.h"
#include "hemlockvane/detail/traffic/TrafficState.h"
#include "hemlockvane/log/Snapshot.h"

#include "hemlockvane/peers.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

// Hash of queue, method, path and body. A request that repeats a key with other content is a different request.
auto contentHash(const QueueRequest& request) -> std::uint64_t
{
    auto hash = hashBytes(request.m_queue);
    hash = hashBytes(request.m_message.m_method, hash);
    hash = hashBytes(request.m_message.m_target, hash);
    return hashBytes(request.m_message.m_body, hash);
}

auto record(const HttpResponse& response) -> std::string
{
    wire::RecordedAnswer answer;
    answer.set_status(response.m_status);
    answer.set_body(response.m_body);
    for (const auto& header : response.m_headers) {
        auto& recorded = *answer.add_headers();
        recorded.set_name(header.m_name);
        recorded.set_value(header.m_value);
    }
    return answer.SerializeAsString();
}

auto replay(const std::string& bytes) -> HttpResponse
{
    wire::RecordedAnswer answer;
    if (!answer.ParseFromString(bytes))
        return errorResponse({ ErrorKind::AnswerLost, "the recorded response is malformed" });
    HttpResponse response { answer.status(), {}, answer.body() };
    for (const auto& header : answer.headers())
        response.m_headers.push_back({ header.name(), header.value() });
    response.m_headers.push_back({ "Idempotency-Replayed", "true" });
    return response;
}

} // namespace

auto claimRequest(TrafficState& traffic, const QueueRequest& request) -> asio::awaitable<ClaimWait>
{
    auto claim = [&claims = traffic.m_claims, team = request.m_caller.m_team, key = request.m_idempotencyKey,
                     hash = contentHash(request),
                     deadline = request.m_deadline]() { return awaitClaim(claims, team, key, hash, deadline); };
    co_return co_await asio::co_spawn(traffic.m_core.m_context, std::move(claim), asio::use_awaitable);
}

auto replyResponse(const ClaimReply& reply) -> HttpResponse
{
    if (reply.m_error == ErrorKind::None)
        return replay(reply.m_answer);
    return errorResponse({ reply.m_error, reply.m_reason }, reply.m_notRun, reply.m_retryAfter);
}

auto reportOutcome(TrafficState& traffic, std::uint64_t ticket, ClaimResult result,
    const std::optional<HttpResponse>& response) -> void
{
    asio::post(traffic.m_core.m_context,
        [&claims = traffic.m_claims, ticket, result, answer = response ? record(*response) : std::string()]() {
            endClaim(claims, ticket, result, answer);
        });
}

} // namespace hemlockvane::detail
