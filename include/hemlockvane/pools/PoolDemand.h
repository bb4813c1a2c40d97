#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <optional>

namespace hemlockvane {

/// @brief Current and recent demand of one pool, in instances.
struct PoolDemand {
    std::int64_t m_now = 0;
    std::int64_t m_peak = 0; ///< Highest sustained demand within MoveLimits::m_peakRetention.
    WallMillis m_peakAt = 0;
    std::optional<WallMillis> m_shortageSince;
    std::int64_t m_sustained = 0; ///< Lowest demand since m_shortageSince.
};

} // namespace hemlockvane
