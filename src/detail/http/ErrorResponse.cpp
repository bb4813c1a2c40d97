#include "hemlockvane/detail/http/ErrorResponse.h"

#include "hemlockvane/errors/ErrorAnswer.h"

#include <boost/json.hpp>

namespace hemlockvane::detail {

namespace {

constexpr const char* retryAfterSeconds = "1";

} // namespace

auto errorResponse(const LastReason& reason) -> HttpResponse
{
    const auto& answer = errorAnswer(reason.m_kind);
    const boost::json::object body {
        { "error", answer.m_name },
        { "number", static_cast<unsigned>(reason.m_kind) },
        { "not_run", answer.m_claimsNotRun },
        { "retry", answer.m_retrySensible },
        { "reason", reason.m_text },
    };
    HttpResponse response { answer.m_httpStatus, { { "Content-Type", "application/json" } }, {} };
    if (answer.m_retrySensible)
        response.m_headers.push_back({ "Retry-After", retryAfterSeconds });
    response.m_body = boost::json::serialize(body) + "\n";
    return response;
}

} // namespace hemlockvane::detail
