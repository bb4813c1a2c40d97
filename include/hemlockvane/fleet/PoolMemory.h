#pragma once

#include <cstdint>

namespace hemlockvane::fleet {

/// @brief Memory and demand for memory of a pool, in MB; the counterparts of the processor figures in `PoolView`.
struct PoolMemory {
    std::int64_t m_capacityMb = 0;
    std::int64_t m_usedMb = 0;
    std::int64_t m_waitingMb = 0;
    std::int64_t m_arrivingMb = 0;
    std::int64_t m_arrivingGrowthMb = 0; ///< In MB a second; not negative.
    std::int64_t m_blockedMb = 0;
    /// Processor of the fleet's machines for each MB of their memory, millicores; 0: memory is not known.
    double m_milliCoresPerMb = 0;
};

} // namespace hemlockvane::fleet
