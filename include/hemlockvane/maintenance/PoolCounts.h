#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Size of a pool and how much of it is failed or draining, in instances.
struct PoolCounts {
    std::int64_t m_size = 0;
    std::int64_t m_unavailable = 0;
};

} // namespace hemlockvane
