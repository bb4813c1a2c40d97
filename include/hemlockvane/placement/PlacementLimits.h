#pragma once

#include "hemlockvane/time/Time.h"

#include <cstddef>
#include <cstdint>

namespace hemlockvane {

/// @brief Timings and bounds of placement.
struct PlacementLimits {
    Duration m_leaseTerm { 10000 }; ///< A worker stops its tasks this long after the report that was last renewed.
    Duration m_clockDrift { 500 }; ///< How far two clocks may drift apart within a term.
    Duration m_reportTimeout { 3000 }; ///< A worker not heard for this long is given nothing new.
    Duration m_preemptionStepInterval { 1500 }; ///< Between throttle, checkpoint and stop.
    Duration m_refusalBackoff { 1000 }; ///< A worker that refused a task is given none so long; doubles each time.
    Duration m_maxRefusalBackoff { 60000 };
    Duration m_quarantineTime { 300000 }; ///< First time that a failing worker is set aside; doubles each time.
    Duration m_maxQuarantineTime { 7200000 };
    std::uint32_t m_quarantineThreshold
        = 3; ///< Jobs that failed on a worker and finished elsewhere before it is set aside.
    std::uint32_t m_suspectThreshold = 2; ///< Failures in a row after which only repeatable jobs are given.
    std::uint32_t m_parkThreshold = 3; ///< Good workers that a job fails on before it is parked.
    std::uint32_t m_maxQuarantinedPercent = 10; ///< Of a pool, rounded up, at most set aside at once.
    std::uint32_t m_shareTolerancePercent = 10; ///< Excess over its share in percent before a team's tasks are pressed.
    std::size_t m_maxActionsPerPlan = 256; ///< Placements in one plan.
    std::size_t m_maxNewPreemptionsPerPlan = 8; ///< Tasks newly pressed for shares in one plan.
    std::size_t m_maxVictimsPerUrgentJob = 8; ///< Tasks ended for one urgent job.
};

} // namespace hemlockvane
