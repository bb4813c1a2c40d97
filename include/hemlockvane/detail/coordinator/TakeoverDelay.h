#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane::detail {

/// @brief How much longer a small instance waits before it takes over work that nobody owns, so that a larger one that
/// lives comes first.
///
/// The owner plans, orders and looks for the whole fleet, and reads all that is stored when it takes over.
/// @param cores processors of the instance; a share of one counts as a fraction; 0: not known
/// @param linkMbps its link, in megabits a second; 0: not known
[[nodiscard]] auto takeoverDelay(double cores, double linkMbps) -> Duration;

} // namespace hemlockvane::detail
