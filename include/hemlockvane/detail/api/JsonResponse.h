#pragma once

#include "hemlockvane/detail/http/HttpResponse.h"
#include "hemlockvane/log/OperationResult.h"

#include <boost/json/object.hpp>

namespace hemlockvane::detail {

/// @brief An answer 200 with a JSON body.
auto jsonResponse(const boost::json::object& body) -> HttpResponse;

/// @brief The answer to an operator's change: accepted with its version, or the error that the fold gave.
/// @param more members added to an accepted answer
auto resultResponse(const OperationResult& result, boost::json::object more = {}) -> HttpResponse;

} // namespace hemlockvane::detail
