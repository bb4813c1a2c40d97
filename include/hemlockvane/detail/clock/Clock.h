#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane::detail {

/// @brief Monotonic clock that also counts the time for which the machine was suspended.
auto monotonicNow() -> Instant;

/// @brief Wall clock, milliseconds since 1970-01-01 UTC.
auto wallNow() -> WallMillis;

} // namespace hemlockvane::detail
