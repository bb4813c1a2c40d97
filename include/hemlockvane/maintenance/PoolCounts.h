#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Number of instances in a pool, and how many of them are failed or draining.
struct PoolCounts {
    std::int64_t m_size = 0;
    std::int64_t m_unavailable = 0;
};

} // namespace hemlockvane
