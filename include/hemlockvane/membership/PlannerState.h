#pragma once

#include "hemlockvane/membership/InstanceListView.h"
#include "hemlockvane/membership/PlannerLimits.h"

#include <map>
#include <string>
#include <vector>

namespace hemlockvane {

/// @brief An entry's state between two membership plans.
struct PlannerState {
    PlannerLimits m_limits;
    std::string m_self;
    std::vector<std::string> m_duties; ///< All duties, in the order of dutyNames.
    InstanceListView m_list;
    std::map<std::string, Instant, std::less<>> m_lastHeardAt; ///< By member: last message, or first seen.
    std::map<std::string, Instant, std::less<>> m_attemptAt; ///< Time of this entry's next attempt, by subject.
    bool m_isLeaving = false; ///< A planned stop has begun; no duty is taken.
    bool m_wasMember = false;
    bool m_wasListed = false;
    Instant m_rebalancedAt;
};

} // namespace hemlockvane
