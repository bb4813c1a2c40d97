#pragma once

#include "hemlockvane/time/Time.h"

#include <cstddef>

namespace hemlockvane {

/// @brief Limits of one request queue.
struct QueueLimits {
    std::size_t m_depth = 256; ///< Maximum number of waiting requests.
    double m_urgentBonus = 0.25; ///< Fraction of its share by which urgent requests may put a team ahead.
    Duration m_creditTime { 250 }; ///< A team that was below its share is compensated within about this time.
};

} // namespace hemlockvane
