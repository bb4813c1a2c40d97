#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <optional>

namespace hemlockvane {

/// @brief What is remembered of one pool's demand, in instances.
struct PoolDemand {
    std::int64_t m_now = 0;
    std::int64_t m_peak = 0; ///< Highest that lasted, within the time that peaks are kept.
    WallMillis m_peakAt = 0;
    std::optional<WallMillis> m_shortageSince;
    std::int64_t m_sustained = 0; ///< Lowest since then.
};

} // namespace hemlockvane
