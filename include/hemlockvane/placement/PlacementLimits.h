#pragma once

#include "hemlockvane/time/Time.h"

#include <cstddef>
#include <cstdint>

namespace hemlockvane {

/// @brief Time-outs, thresholds and maxima of placement.
struct PlacementLimits {
    Duration m_leaseTerm { 10000 }; ///< Counts from the worker's report that a renewal answers; the worker stops its
                                    ///< tasks when it expires.
    Duration m_clockDrift { 500 }; ///< Maximum drift between two clocks within one lease term.
    Duration m_reportTimeout { 3000 }; ///< A worker that has not reported for this long receives no new tasks.
    Duration m_preemptionStepInterval { 1500 }; ///< Time between the steps throttle, checkpoint and stop.
    Duration m_refusalBackoff { 1000 }; ///< A worker that refused a task receives no new ones for this long; doubled at
                                        ///< each further refusal.
    Duration m_maxRefusalBackoff { 60000 };
    Duration m_quarantineTime { 300000 }; ///< First quarantine of a failing worker; doubled at each further one.
    Duration m_maxQuarantineTime { 7200000 };
    std::uint32_t m_quarantineThreshold = 3; ///< A worker is quarantined once this many jobs failed on it and finished
                                             ///< on another worker.
    std::uint32_t m_suspectThreshold = 2; ///< A worker receives only repeatable jobs after this many failures in a row.
    std::uint32_t m_parkThreshold = 3; ///< A job is parked once it failed on this many reliable workers.
    std::uint32_t m_maxQuarantinedPercent = 10; ///< Maximum part of a pool in quarantine at a time, rounded up.
    std::uint32_t m_shareTolerancePercent = 10; ///< Tolerated deviation from a team's share, in percent of the share.
    std::size_t m_maxActionsPerPlan = 256; ///< No more jobs are placed by share once a plan has this many actions.
    std::size_t m_maxNewPreemptionsPerPlan = 8; ///< Maximum tasks that a plan newly preempts to restore shares.
    std::size_t m_maxVictimsPerUrgentJob = 8; ///< Maximum tasks preempted for one urgent job.
};

} // namespace hemlockvane
