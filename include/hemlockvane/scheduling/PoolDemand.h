#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace hemlockvane::scheduling {

/// @brief Processor demand of a service's tasks, in millicores.
struct PoolDemand {
    std::int64_t m_runningMilliCores = 0;
    std::int64_t m_waitingMilliCores = 0; ///< Tasks that could start now if capacity were free.
    std::int64_t m_arrivingMilliCores = 0; ///< Capacity needed to serve jobs at the recent arrival rate.
    std::int64_t m_blockedMilliCores = 0; ///< Tasks that wait for other steps.
    std::set<std::string> m_waitingLabels; ///< Labels that waiting tasks require; an empty one: any executor.
};

} // namespace hemlockvane::scheduling
