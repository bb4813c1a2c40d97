#include "hemlockvane/detail/client/EntryClient.h"

#include "hemlockvane/detail/http/ErrorResponse.h"
#include "hemlockvane/detail/http/HttpConnection.h"
#include "hemlockvane/detail/text/JsonFields.h"
#include "hemlockvane/errors/ErrorAnswer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>

namespace hemlockvane::detail {

namespace asio = boost::asio;

auto readRefusal(const HttpResponse& response, LastReason& reason) -> bool
{
    const auto body = parseObject(response.m_body);
    const auto number = body ? numberOf(*body, "number", 0) : 0;
    if (number <= 0 || number >= static_cast<std::int64_t>(errorKindCount))
        return false;
    const auto kind = static_cast<ErrorKind>(number);
    if (errorAnswer(kind).m_name != textOf(*body, "error"))
        return false;
    reason = { kind, textOf(*body, "reason") };
    return true;
}

auto mayTryNextEntry(const LastReason& reason, bool isIdempotent) -> bool
{
    const auto& answer = errorAnswer(reason.m_kind);
    // Every entry would say the same: the team's upper limit and the deadline are not this entry's own.
    if (reason.m_kind == ErrorKind::OverLimit || reason.m_kind == ErrorKind::DeadlinePassed)
        return false;
    return answer.m_retrySensible && (answer.m_claimsNotRun || isIdempotent);
}

auto callEntry(std::string_view address, const HttpRequest& request, std::chrono::milliseconds timeout,
    LastReason& reason) -> std::optional<HttpResponse>
{
    asio::io_context context(1);
    std::optional<HttpResponse> response;
    const auto keep = [&](const std::exception_ptr& exception, std::optional<HttpResponse> answer) {
        if (exception)
            fail(reason, ErrorKind::AnswerLost, "the exchange failed");
        else
            response = std::move(answer);
    };
    asio::co_spawn(context, httpCall(address, request, timeout, reason), keep);
    context.run();
    return response;
}

auto callEntries(std::span<const std::string> addresses, const HttpRequest& request, bool isIdempotent,
    std::chrono::milliseconds timeout, LastReason& reason) -> std::optional<HttpResponse>
{
    std::optional<HttpResponse> refusal;
    auto mayHaveRun = false;
    for (const auto& address : addresses) {
        LastReason latest;
        auto answer = callEntry(address, request, timeout, latest);
        if (answer && !readRefusal(*answer, latest))
            return answer;
        if (answer)
            refusal = std::move(answer);
        mayHaveRun = mayHaveRun || !errorAnswer(latest.m_kind).m_claimsNotRun;
        reason = latest;
        if (!mayTryNextEntry(latest, isIdempotent))
            break;
    }
    if (!refusal || !mayHaveRun || !errorAnswer(reason.m_kind).m_claimsNotRun)
        return refusal;
    fail(reason, ErrorKind::OutcomeUnknown, "an earlier attempt lost its answer, then: " + std::string(reason.m_text));
    return errorResponse(reason);
}

} // namespace hemlockvane::detail
