#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief A worker instance: its pool, failure domains, capacity and state.
struct InstanceRecord {
    std::string m_pool;
    std::string m_zone;
    std::string m_rack; ///< Unique across the fleet.
    std::uint32_t m_cores = 0;
    std::uint32_t m_memoryMb = 0;
    std::uint32_t m_accelerators = 0;
    bool m_available = true; ///< False when it was marked as failed.
    std::string m_drainingFor; ///< Wave that drains it; empty when not draining.
    WallMillis m_drainingSince = 0; ///< Time stamp of the record that began the drain; 0 when not draining.
    std::uint32_t m_moves = 0; ///< Number of moves between pools.
};

} // namespace hemlockvane
