#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane {

/// @brief Both clocks at one event.
struct ClaimTime {
    Instant m_now;
    WallMillis m_wall = 0;
};

} // namespace hemlockvane
