#pragma once

#include "hemlockvane/shares/QueuedRequest.h"

#include <cstdint>
#include <deque>

namespace hemlockvane {

/// @brief What one team has waiting and running at one entry.
struct TeamQueue {
    std::deque<QueuedRequest> m_urgent; ///< Oldest first.
    std::deque<QueuedRequest> m_normal; ///< Oldest first.
    std::uint32_t m_running = 0;
    double m_weight = 1;
    double m_fleetShare = -1; ///< Slots at this entry according to the holder; below 0: not told.
    double m_entitlement = 0; ///< Slots of those in hand.
    double m_credit = 0; ///< Slot seconds that it had too few.
    double m_meanRun = 0; ///< Mean time in a slot in seconds; 0: not known.
};

/// @brief Requests of the team that wait.
inline auto waitingCount(const TeamQueue& team) -> std::size_t { return team.m_urgent.size() + team.m_normal.size(); }

} // namespace hemlockvane
