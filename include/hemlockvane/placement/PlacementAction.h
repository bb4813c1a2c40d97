#pragma once

#include "hemlockvane/log/FoldContext.h"
#include "hemlockvane/placement/AttemptOutcome.h"
#include "hemlockvane/placement/PlacementActionKind.h"

#include <string>

namespace hemlockvane {

/// @brief One action of a placement plan, complete enough for the driver to carry it out.
struct PlacementAction {
    PlacementActionKind m_kind = PlacementActionKind::RenewLease;
    std::string m_worker; ///< Empty when EndAttempt ends a waiting job.
    std::string m_job; ///< Empty for RenewLease, which covers all tasks of the worker.
    std::uint32_t m_attempt = 0;
    Offset m_leaseEpoch = 0; ///< Lease epoch of the task; 0 for PlaceJob.
    Offset m_fenceEpoch = 0; ///< Epoch of the placement duty.
    std::int64_t m_leaseUntil = 0; ///< RenewLease, StartTask: lease end on the worker's clock, in ms. From then on the
                                   ///< worker refuses to start the task or stops it.
    AttemptOutcome m_outcome = AttemptOutcome::None; ///< EndAttempt only.
    bool m_parked = false; ///< EndAttempt only: true when no further attempt follows.
    std::string m_reason; ///< Written to the log line and to the record.
};

} // namespace hemlockvane
