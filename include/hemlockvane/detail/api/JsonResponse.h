#pragma once

#include "hemlockvane/detail/http/HttpResponse.h"
#include "hemlockvane/log/OperationResult.h"

#include <boost/json/object.hpp>

namespace hemlockvane::detail {

/// @brief Makes a response with status 200 and a JSON body.
auto jsonResponse(const boost::json::object& body) -> HttpResponse;

/// @brief Makes the response to an operator's change: accepted with its version, or the error that the fold returned.
/// @param more members added to the response of an accepted change
auto resultResponse(const OperationResult& result, boost::json::object more = {}) -> HttpResponse;

} // namespace hemlockvane::detail
