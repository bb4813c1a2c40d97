#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace hemlockvane::scheduling {

/// @brief Processors that a service's tasks ask for, in thousandths of a core.
struct PoolDemand {
    std::int64_t m_runningMilliCores = 0;
    std::int64_t m_waitingMilliCores = 0; ///< Could start now if there were room.
    std::int64_t m_arrivingMilliCores = 0; ///< What work at the rate of the last moment keeps busy.
    std::int64_t m_blockedMilliCores = 0; ///< Wait for other steps.
    std::set<std::string> m_waitingLabels; ///< Labels that waiting tasks require; an empty one for any executor.
};

} // namespace hemlockvane::scheduling
