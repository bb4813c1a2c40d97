#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief A worker instance: the one pool that it belongs to and its failure domains.
struct InstanceRecord {
    std::string m_pool;
    std::string m_zone;
    std::string m_rack; ///< Unique in the fleet.
    std::uint32_t m_cores = 0;
    std::uint32_t m_memoryMb = 0;
    std::uint32_t m_accelerators = 0;
    bool m_available = true; ///< False: seen failed.
    std::string m_drainingFor; ///< Wave that drains it; empty: none.
    WallMillis m_drainingSince = 0; ///< Stamp of the drain's begin; 0: none.
    std::uint32_t m_moves = 0; ///< Times that it changed pool.
};

} // namespace hemlockvane
