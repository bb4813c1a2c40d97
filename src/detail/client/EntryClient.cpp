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

auto readRefusal(const HttpResponse& response) -> std::optional<Refusal>
{
    const auto body = parseObject(response.m_body);
    const auto number = body ? numberOf(*body, "number", 0) : 0;
    if (number <= 0 || number >= static_cast<std::int64_t>(errorKindCount))
        return std::nullopt;
    const auto kind = static_cast<ErrorKind>(number);
    if (errorAnswer(kind).m_name != textOf(*body, "error"))
        return std::nullopt;
    return Refusal { { kind, textOf(*body, "reason") }, flagOf(*body, "not_run", false),
        flagOf(*body, "retry", false) };
}

auto refusalOf(const FailureReason& reason) -> Refusal
{
    const auto& answer = errorAnswer(reason.m_kind);
    return { reason, answer.m_guaranteesNotRun, answer.m_isRetryable };
}

auto mayTryNextEntry(const Refusal& refusal, bool isIdempotent) -> bool
{
    // The team's upper limit and the deadline are the same at every entry, so another entry would refuse as well.
    const auto kind = refusal.m_reason.m_kind;
    if (kind == ErrorKind::OverLimit || kind == ErrorKind::DeadlinePassed)
        return false;
    return refusal.m_isRetryable && (refusal.m_guaranteesNotRun || isIdempotent);
}

auto callEntry(std::string_view address, const HttpRequest& request, std::chrono::milliseconds timeout,
    FailureReason& reason) -> std::optional<HttpResponse>
{
    asio::io_context context(1);
    std::optional<HttpResponse> response;
    const auto onCompletion = [&](const std::exception_ptr& exception, std::optional<HttpResponse> answer) {
        if (exception)
            fail(reason, ErrorKind::AnswerLost, "the exchange failed");
        else
            response = std::move(answer);
    };
    asio::co_spawn(context, httpCall(address, request, timeout, reason), onCompletion);
    context.run();
    return response;
}

auto callEntries(std::span<const std::string> addresses, const HttpRequest& request, bool isIdempotent,
    std::chrono::milliseconds timeout, FailureReason& reason) -> std::optional<HttpResponse>
{
    std::optional<HttpResponse> lastRefusal;
    Refusal latest;
    auto mayHaveRun = false;
    for (const auto& address : addresses) {
        FailureReason failure;
        auto answer = callEntry(address, request, timeout, failure);
        const auto refusal = answer ? readRefusal(*answer) : refusalOf(failure);
        if (!refusal)
            return answer;
        if (answer)
            lastRefusal = std::move(answer);
        latest = *refusal;
        mayHaveRun = mayHaveRun || !latest.m_guaranteesNotRun;
        if (!mayTryNextEntry(latest, isIdempotent))
            break;
    }
    reason = latest.m_reason;
    if (!lastRefusal || !mayHaveRun || !latest.m_guaranteesNotRun)
        return lastRefusal;
    fail(reason, ErrorKind::OutcomeUnknown, "an earlier attempt may have run, then: " + latest.m_reason.m_text);
    return errorResponse(reason);
}

} // namespace hemlockvane::detail
