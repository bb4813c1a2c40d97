#pragma once

#include "hemlockvane/placement/SizeSamples.h"

#include <cstddef>
#include <deque>
#include <string>
#include <utility>

namespace hemlockvane {

/// @brief Number of ended attempts kept for each team and queue.
inline constexpr std::size_t maxQueueEnds = 32;

/// @brief Resource usage and recent attempt ends of one team's jobs in one queue.
struct QueueHistory {
    SizeSamples m_milliCores;
    SizeSamples m_memoryMb;
    std::deque<std::pair<std::string, bool>> m_ends; ///< Worker, and whether the attempt failed; oldest first.
};

} // namespace hemlockvane
