#pragma once

#include "hemlockvane/log/FoldContext.h"
#include "hemlockvane/placement/AttemptOutcome.h"
#include "hemlockvane/placement/PlacementActionKind.h"

#include <string>

namespace hemlockvane {

/// @brief One thing for the shell to do, with everything that it needs for it.
struct PlacementAction {
    PlacementActionKind m_kind = PlacementActionKind::RenewLease;
    std::string m_worker; ///< Empty for the end of a waiting job.
    std::string m_job; ///< Empty for RenewLease, which covers all tasks of the worker.
    std::uint32_t m_attempt = 0;
    Offset m_leaseEpoch = 0; ///< Of the task; 0 for PlaceJob.
    Offset m_fenceEpoch = 0; ///< Of the placement duty.
    std::int64_t m_leaseUntil = 0; ///< RenewLease, StartTask: on the worker's clock in ms; it refuses or stops then.
    AttemptOutcome m_outcome = AttemptOutcome::None; ///< EndAttempt.
    bool m_parked = false; ///< EndAttempt: no further attempt.
    std::string m_reason; ///< For the log line and the record.
};

} // namespace hemlockvane
