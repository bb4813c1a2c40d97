#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <set>
#include <string>

namespace hemlockvane::fleet {

/// @brief Operators' order that machines have their upkeep in time.
struct WaveOrder {
    std::uint64_t m_number = 0;
    std::set<std::string> m_machines;
    Duration m_timeLimit { 0 }; ///< From the order to the last upkeep's end.
    std::uint32_t m_maxConcurrent = 1; ///< Machines that may be down for it at the same time.
};

} // namespace hemlockvane::fleet
