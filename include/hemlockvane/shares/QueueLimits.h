#pragma once

#include "hemlockvane/time/Time.h"

#include <cstddef>

namespace hemlockvane {

/// @brief Bounds of one queue.
struct QueueLimits {
    std::size_t m_depth = 256; ///< Requests waiting.
    double m_urgentBonus = 0.25; ///< Part of its share by which urgent work may put a team ahead of others.
    Duration m_creditTime { 250 }; ///< A team that had too little is made up for within about this time.
};

} // namespace hemlockvane
