#pragma once

#include "hemlockvane/pools/MoveLimits.h"
#include "hemlockvane/pools/PoolDemand.h"

#include <map>
#include <string>

namespace hemlockvane {

/// @brief State that the planner of moves keeps between plans. It is not persisted; a new holder of the duty may start
/// without it.
struct MovePlanState {
    MoveLimits m_limits;
    std::map<std::string, PoolDemand, std::less<>> m_demand; ///< By pool.
    std::map<std::string, WallMillis, std::less<>> m_movedAt; ///< By instance: time of its last move.
    std::map<std::string, std::string, std::less<>>
        m_inFlight; ///< Destination pool by instance with a record in flight.
};

} // namespace hemlockvane
