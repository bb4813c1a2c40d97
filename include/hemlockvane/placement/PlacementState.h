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

/// @brief What the holder of the placement duty learns; lost with it and learned again by the next one.
struct PlacementState {
    PlacementLimits m_limits;
    Offset m_epoch = 0; ///< Of the duty.
    Instant m_startedAt {}; ///< By then every earlier holder has stopped.
    std::map<std::string, WorkerStatus, std::less<>> m_workers;
    std::map<std::string, TaskStatus, std::less<>> m_tasks; ///< By running job.
    std::map<std::string, PendingPlacement, std::less<>> m_pendingPlacements; ///< By job.
    std::set<std::string, std::less<>> m_pendingEnds; ///< Jobs with an EndAttempt on its way to the log.
    std::map<std::pair<std::string, std::string>, QueueHistory> m_queues; ///< By team and queue.
    std::map<std::string, std::string, std::less<>>
        m_urgentReservations; ///< Worker that is cleared for an urgent job, by job.
};

} // namespace hemlockvane
