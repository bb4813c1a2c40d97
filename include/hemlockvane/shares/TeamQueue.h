#pragma once

#include "hemlockvane/shares/QueuedRequest.h"

#include <cstdint>
#include <deque>

namespace hemlockvane {

/// @brief One team's waiting and running requests at one entry.
struct TeamQueue {
    std::deque<QueuedRequest> m_urgent; ///< Oldest first.
    std::deque<QueuedRequest> m_normal; ///< Oldest first.
    std::uint32_t m_running = 0;
    double m_weight = 1;
    double m_fleetShare = -1; ///< Slots at this entry according to the holder; below 0 if not known.
    double m_entitlement = 0; ///< Share of this entry's slots.
    double m_credit = 0; ///< Slot seconds below its share.
    double m_meanRun = 0; ///< Mean run time in seconds; 0 if not known.
};

/// @brief Number of waiting requests of the team.
inline auto waitingCount(const TeamQueue& team) -> std::size_t { return team.m_urgent.size() + team.m_normal.size(); }

} // namespace hemlockvane
