#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane::fleet {

/// @brief Times of the plans for machines.
struct FleetTiming {
    Duration m_moveTime { 1500 }; ///< From the order to the new executor; the platform's settings say.
    Duration m_upkeepTime { 2000 }; ///< From the order to the new executor; the platform's settings say.
    Duration m_drainTime { 2000 }; ///< For tasks to end, and lasting ones to go elsewhere, before an upkeep.
    Duration m_idleTimeout { 1200 }; ///< An idle machine is parked when it was idle for as long as a move costs.
};

} // namespace hemlockvane::fleet
