#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane {

/// @brief Hysteresis of moves between pools.
struct MoveLimits {
    WallMillis m_shortageDelay = 30000; ///< A pool must lack instances for this long before any is moved to it, in ms.
    WallMillis m_peakRetention = 600000; ///< A pool retains instances for its peak demand for this long, in ms.
    WallMillis m_moveCooldown = 300000; ///< An instance is not moved again for this long after a move, in ms.
    std::int64_t m_maxMovesPerPlan = 16; ///< Maximum moves in one plan.
};

} // namespace hemlockvane
