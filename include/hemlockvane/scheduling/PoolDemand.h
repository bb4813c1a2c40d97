#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace hemlockvane::scheduling {

/// @brief Demand of a service's tasks for processor, in millicores, and for memory, in MB.
struct PoolDemand {
    std::int64_t m_runningMilliCores = 0;
    std::int64_t m_waitingMilliCores = 0; ///< Tasks that could start now if capacity were free.
    std::int64_t m_arrivingMilliCores = 0; ///< Capacity needed to serve jobs at the recent arrival rate.
    std::int64_t m_arrivingGrowth = 0; ///< Growth of `m_arrivingMilliCores`, in millicores a second; not negative.
    std::int64_t m_blockedMilliCores = 0; ///< Tasks that wait for other steps.
    std::int64_t m_runningMb = 0;
    std::int64_t m_waitingMb = 0;
    std::int64_t m_arrivingMb = 0;
    std::int64_t m_arrivingGrowthMb = 0; ///< In MB a second; not negative.
    std::int64_t m_blockedMb = 0;
    /// Number of further executors that waiting tasks need, by required label; an empty label stands for any executor.
    std::map<std::string, std::uint32_t> m_executorsWanted;
    std::map<std::string, std::uint32_t> m_executorsForLongRunning; ///< The same for long-running tasks alone.
};

} // namespace hemlockvane::scheduling
