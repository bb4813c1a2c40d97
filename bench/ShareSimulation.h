#pragma once

#include "ShareMeter.h"
#include "ShareWorkload.h"

#include "hemlockvane/limits.h"
#include "hemlockvane/shares.h"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace hemlockvane::bench {

/// @brief How executor slots are divided.
enum class SharePolicy { Escrow, StaticSplit, FirstComeFirstServed };

/// @brief What one run showed.
struct ShareResult {
    double m_meanDistance = 0;
    double m_largestDistance = 0;
    double m_distanceP95 = 0; ///< 95th percentile.
    double m_sampledMeanDistance = 0; ///< Mean distance from the entitlement by sampled demand.
    double m_busyFraction = 0; ///< Part of the slots that waiting demand could use.
    int m_longestUnservedMs = 0;
    std::size_t m_saturatedTeamSeconds = 0;
    double m_firstTeamWaitP50Ms = 0; ///< Wait of the first team's requests, median.
    double m_firstTeamWaitP99Ms = 0;
    std::uint64_t m_dispatched = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_messages = 0; ///< Between entries; one message carries all lines that are due.
};

/// @brief Drives queues, escrow and slot planning of the whole fleet in virtual time, in steps of a millisecond.
/// @param delayMs time of a message between two entries
auto simulateShares(const ShareWorkload& workload, SharePolicy policy, std::uint64_t seed, int delayMs) -> ShareResult;

} // namespace hemlockvane::bench
