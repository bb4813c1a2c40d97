#include "hemlockvane/detail/api/JsonResponse.h"

#include "hemlockvane/detail/http/ErrorResponse.h"

#include <boost/json.hpp>

namespace hemlockvane::detail {

namespace {

constexpr unsigned statusOk = 200;

} // namespace

auto jsonResponse(const boost::json::object& body) -> HttpResponse
{
    return { statusOk, { { "Content-Type", "application/json" } }, boost::json::serialize(body) + "\n" };
}

auto resultResponse(const OperationResult& result, boost::json::object more) -> HttpResponse
{
    if (result.m_error != ErrorKind::None)
        return errorResponse({ result.m_error, result.m_reason });
    more["accepted"] = true;
    more["version"] = result.m_offset;
    return jsonResponse(more);
}

} // namespace hemlockvane::detail
