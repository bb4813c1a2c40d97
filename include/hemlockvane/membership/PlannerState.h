#pragma once

#include "hemlockvane/membership/InstanceListView.h"
#include "hemlockvane/membership/PlannerLimits.h"

#include <map>
#include <string>
#include <vector>

namespace hemlockvane {

/// @brief What an entry remembers between membership plans.
struct PlannerState {
    PlannerLimits m_limits;
    std::string m_self;
    std::vector<std::string> m_duties; ///< As dutyNames gives them.
    InstanceListView m_list;
    std::map<std::string, Instant, std::less<>> m_lastHeardAt; ///< Members, and when each was last heard or first seen.
    std::map<std::string, Instant, std::less<>> m_attemptAt; ///< By subject: when this entry attempts its step.
    bool m_isLeaving = false; ///< A planned stop has begun: no duty is taken.
    bool m_wasMember = false;
    bool m_wasListed = false;
    Instant m_rebalancedAt;
};

} // namespace hemlockvane
