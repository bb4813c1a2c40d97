#pragma once

#include "hemlockvane/detail/http/HttpResponse.h"
#include "hemlockvane/errors/FailureReason.h"

#include <chrono>

namespace hemlockvane::detail {

/// @brief Makes the HTTP response to a failure: a JSON object with error, number, not_run, retry and reason.
auto errorResponse(const FailureReason& reason) -> HttpResponse;

/// @brief Makes the HTTP response to a failure, with values that replace the defaults of the error kind.
/// @param notRun true when the request was certainly not run
/// @param retryAfter time after which the caller may retry; zero: default of the error kind
auto errorResponse(const FailureReason& reason, bool notRun, std::chrono::milliseconds retryAfter) -> HttpResponse;

} // namespace hemlockvane::detail
