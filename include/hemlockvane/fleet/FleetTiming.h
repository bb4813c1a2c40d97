#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane::fleet {

/// @brief Expected durations and time-outs used when planning moves and upkeeps of machines.
struct FleetTiming {
    Duration m_moveTime { 1500 }; ///< From a move's order until the new executor is ready; set by the platform.
    Duration m_upkeepTime { 2000 }; ///< From an upkeep's order until the new executor is ready; set by the platform.
    Duration m_drainTime { 2000 }; ///< For short tasks to end and long-running ones to move away before an upkeep.
    /// Long-running tasks that have waited for a machine for this time get one drained.
    Duration m_patienceForLongRunning { 1000 };
    Duration m_idleTimeout { 1200 }; ///< After this time without runs a machine returns to the spare pool; about as
                                     ///< long as a move takes.
};

} // namespace hemlockvane::fleet
