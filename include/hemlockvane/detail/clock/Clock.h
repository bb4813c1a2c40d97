#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane::detail {

/// @brief Reads the monotonic clock, which also runs while the machine is suspended.
auto monotonicNow() -> Instant;

/// @brief Reads the wall clock, in milliseconds since 1970-01-01 UTC.
auto wallNow() -> WallMillis;

} // namespace hemlockvane::detail
