#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane {

/// @brief Monotonic and wall clock time of an event.
struct ClaimTime {
    Instant m_now;
    WallMillis m_wall = 0;
};

} // namespace hemlockvane
