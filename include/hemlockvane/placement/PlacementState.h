#pragma once

#include "hemlockvane/log/FoldContext.h"
#include "hemlockvane/placement/PendingPlacement.h"
#include "hemlockvane/placement/PlacementLimits.h"
#include "hemlockvane/placement/QueueHistory.h"
#include "hemlockvane/placement/TaskStatus.h"
#include "hemlockvane/placement/WorkerStatus.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace hemlockvane {

/// @brief Volatile state of the holder of the placement duty. The next holder starts empty and rebuilds it from
/// reports.
struct PlacementState {
    PlacementLimits m_limits;
    Offset m_epoch = 0; ///< Epoch of the placement duty.
    Instant m_startedAt {}; ///< Start of this holder; every earlier holder has stopped by then.
    std::map<std::string, WorkerStatus, std::less<>> m_workers;
    std::map<std::string, TaskStatus, std::less<>> m_tasks; ///< By running job.
    std::map<std::string, PendingPlacement, std::less<>> m_pendingPlacements; ///< By job.
    std::set<std::string, std::less<>> m_pendingEnds; ///< Jobs whose EndAttempt record is in flight to the log.
    std::map<std::pair<std::string, std::string>, QueueHistory> m_queues; ///< By team and queue.
    std::map<std::string, std::string, std::less<>>
        m_urgentReservations; ///< By urgent job: the worker reserved for it.
};

} // namespace hemlockvane
