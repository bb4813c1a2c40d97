#pragma once

#include "hemlockvane/time/Time.h"

#include <cstddef>
#include <cstdint>

namespace hemlockvane {

/// @brief Timings and bounds of placement.
struct PlacementLimits {
    Duration m_leaseTerm { 10000 }; ///< A worker stops its tasks this long after the report that was last renewed.
    Duration m_clockDrift { 500 }; ///< How far two clocks may drift apart within a term.
    Duration m_silentAfter { 3000 }; ///< A worker not heard for this long is given nothing new.
    Duration m_pressureStep { 1500 }; ///< Between throttle, checkpoint and stop.
    Duration m_refusalRest { 1000 }; ///< A worker that refused a task is given none so long; doubles each time.
    Duration m_longestRefusalRest { 60000 };
    Duration m_setAside { 300000 }; ///< First time that a failing worker is set aside; doubles each time.
    Duration m_longestSetAside { 7200000 };
    std::uint32_t m_blameJobs = 3; ///< Jobs that failed on a worker and finished elsewhere before it is set aside.
    std::uint32_t m_suspectFailures = 2; ///< Failures in a row after which only repeatable jobs are given.
    std::uint32_t m_parkWorkers = 3; ///< Good workers that a job fails on before it is parked.
    std::uint32_t m_setAsidePercent = 10; ///< Of a pool, rounded up, at most set aside at once.
    std::uint32_t m_sharePercent = 10; ///< Excess over its share in percent before a team's tasks are pressed.
    std::size_t m_actionsAtOnce = 256; ///< Placements in one plan.
    std::size_t m_pressedAtOnce = 8; ///< Tasks newly pressed for shares in one plan.
    std::size_t m_victimsForUrgent = 8; ///< Tasks ended for one urgent job.
};

} // namespace hemlockvane
