#pragma once

#include "hemlockvane/placement/SizeSamples.h"

#include <cstddef>
#include <deque>
#include <string>
#include <utility>

namespace hemlockvane {

/// @brief Latest ends remembered for each team and queue.
inline constexpr std::size_t maxQueueEnds = 32;

/// @brief What was learned of one team's jobs in one queue.
struct QueueHistory {
    SizeSamples m_milliCores;
    SizeSamples m_memoryMb;
    std::deque<std::pair<std::string, bool>> m_ends; ///< Worker, and true when the attempt failed; oldest first.
};

} // namespace hemlockvane
