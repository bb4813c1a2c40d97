#pragma once

#include "hemlockvane/detail/http/HttpResponse.h"
#include "hemlockvane/errors/LastReason.h"

#include <chrono>

namespace hemlockvane::detail {

/// @brief The HTTP answer to a failure: JSON with error, number, not_run, retry and reason.
auto errorResponse(const LastReason& reason) -> HttpResponse;

/// @brief As above, where more is known than the kind says.
/// @param notRun whether the request was certainly not run
/// @param retryAfter when the caller may come back; zero: as the kind says
auto errorResponse(const LastReason& reason, bool notRun, std::chrono::milliseconds retryAfter) -> HttpResponse;

} // namespace hemlockvane::detail
