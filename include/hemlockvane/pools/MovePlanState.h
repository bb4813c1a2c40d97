#pragma once

#include "hemlockvane/pools/MoveLimits.h"
#include "hemlockvane/pools/PoolDemand.h"

#include <map>
#include <string>

namespace hemlockvane {

/// @brief What the planner of moves remembers between plans; lost with its duty's holder without harm.
struct MovePlanState {
    MoveLimits m_limits;
    std::map<std::string, PoolDemand, std::less<>> m_demand; ///< By pool.
    std::map<std::string, WallMillis, std::less<>> m_movedAt; ///< By instance.
    std::map<std::string, std::string, std::less<>> m_inFlight; ///< Where instances with a record on its way will be.
};

} // namespace hemlockvane
