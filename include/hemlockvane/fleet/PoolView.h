#pragma once

#include "hemlockvane/fleet/PoolMemory.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace hemlockvane::fleet {

/// @brief Capacity and demand of a pool; processor in millicores.
struct PoolView {
    std::string m_name;
    bool m_isSpare = false;
    std::int64_t m_capacityMilliCores = 0; ///< Of its machines that accept tasks, or soon will.
    std::int64_t m_usedMilliCores = 0;
    std::int64_t m_waitingMilliCores = 0; ///< Tasks that could start now if capacity were free.
    std::int64_t m_arrivingMilliCores = 0; ///< Capacity needed to sustain the current arrival rate of work.
    std::int64_t m_blockedMilliCores = 0; ///< Tasks that wait for other tasks to finish.
    /// Number of further machines that waiting tasks need, by required label; an empty label stands for any machine.
    std::map<std::string, std::uint32_t> m_machinesWanted;
    /// Those of them that long-running tasks need, by required label.
    std::map<std::string, std::uint32_t> m_machinesForLongRunning {};
    Duration m_waitOfLongRunning { 0 }; ///< For how long long-running tasks have wanted machines without a break.
    std::int64_t m_arrivingGrowth = 0; ///< Growth of `m_arrivingMilliCores`, in millicores a second; not negative.
    PoolMemory m_memory {};
};

} // namespace hemlockvane::fleet
