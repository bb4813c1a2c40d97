#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <set>
#include <string>

namespace hemlockvane::fleet {

/// @brief An operator's order to maintain a set of machines within a time limit.
struct WaveOrder {
    std::uint64_t m_number = 0;
    std::set<std::string> m_machines;
    Duration m_timeLimit { 0 }; ///< From the order to the end of the last upkeep.
    std::uint32_t m_maxConcurrent = 1; ///< Maximum number of machines that may be down for the wave at a time.
};

} // namespace hemlockvane::fleet
