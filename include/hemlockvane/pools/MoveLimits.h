#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane {

/// @brief Hysteresis of moves between pools.
struct MoveLimits {
    WallMillis m_shortageDelay = 30000; ///< A pool lacks instances for this long before any is moved to it, in ms.
    WallMillis m_peakRetention = 600000; ///< A pool's highest demand counts for this long, in ms.
    WallMillis m_moveCooldown = 300000; ///< An instance that moved does not move again for this long, in ms.
    std::int64_t m_maxMovesPerPlan = 16; ///< Moves in one plan.
};

} // namespace hemlockvane
