#include "hemlockvane/detail/http/ErrorResponse.h"

#include "hemlockvane/errors/ErrorAnswer.h"

#include <boost/json.hpp>

#include <algorithm>

namespace hemlockvane::detail {

namespace {

constexpr std::chrono::seconds minimumRetryAfter { 1 };

} // namespace

auto errorResponse(const FailureReason& reason) -> HttpResponse
{
    return errorResponse(reason, errorAnswer(reason.m_kind).m_guaranteesNotRun, {});
}

auto errorResponse(const FailureReason& reason, bool notRun, std::chrono::milliseconds retryAfter) -> HttpResponse
{
    const auto& answer = errorAnswer(reason.m_kind);
    const auto isRetryable = answer.m_isRetryable || retryAfter.count() > 0;
    const boost::json::object body {
        { "error", answer.m_name },
        { "number", static_cast<unsigned>(reason.m_kind) },
        { "not_run", notRun },
        { "retry", isRetryable },
        { "reason", reason.m_text },
    };
    HttpResponse response { answer.m_httpStatus, { { "Content-Type", "application/json" } }, {} };
    const auto seconds = std::max(minimumRetryAfter, std::chrono::ceil<std::chrono::seconds>(retryAfter));
    if (isRetryable)
        response.m_headers.push_back({ "Retry-After", std::to_string(seconds.count()) });
    response.m_body = boost::json::serialize(body) + "\n";
    return response;
}

} // namespace hemlockvane::detail
