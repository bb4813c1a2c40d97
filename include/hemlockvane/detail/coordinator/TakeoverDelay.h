#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane::detail {

/// @brief Additional time that a small instance waits before it takes over ownership, so that a larger live
/// instance can do so first.
///
/// The owner plans for and polls the whole fleet, and reads the whole stored state when it takes over.
/// @param cores processors of the instance, may be fractional; 0: unknown
/// @param linkMbps network bandwidth of the instance, in megabits per second; 0: unknown
[[nodiscard]] auto takeoverDelay(double cores, double linkMbps) -> Duration;

} // namespace hemlockvane::detail
