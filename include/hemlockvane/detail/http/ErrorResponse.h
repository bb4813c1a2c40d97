#pragma once

#include "hemlockvane/detail/http/HttpResponse.h"
#include "hemlockvane/errors/LastReason.h"

namespace hemlockvane::detail {

/// @brief The HTTP answer to a failure: JSON with error, number, not_run, retry and reason.
auto errorResponse(const LastReason& reason) -> HttpResponse;

} // namespace hemlockvane::detail
