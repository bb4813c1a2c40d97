#pragma once

#include "hemlockvane/detail/http/HttpResponse.h"
#include "hemlockvane/errors/FailureReason.h"

#include <chrono>

namespace hemlockvane::detail {

/// @brief The HTTP answer to a failure: JSON with error, number, not_run, retry and reason.
auto errorResponse(const FailureReason& reason) -> HttpResponse;

/// @brief As above, where more is known than the kind says.
/// @param notRun whether the request was certainly not run
/// @param retryAfter when the caller may come back; zero: as the kind says
auto errorResponse(const FailureReason& reason, bool notRun, std::chrono::milliseconds retryAfter) -> HttpResponse;

} // namespace hemlockvane::detail
