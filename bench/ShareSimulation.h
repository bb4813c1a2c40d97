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

/// @brief How executor slots are divided among entries and teams.
enum class SharePolicy { Escrow, StaticSplit, FirstComeFirstServed };

/// @brief Result of one run. For distances see ShareMeter.
struct ShareResult {
    double m_meanDistance = 0;
    double m_largestDistance = 0;
    double m_distanceP95 = 0; ///< 95th percentile of the share distances.
    double m_sampledMeanDistance = 0; ///< Mean of the sampled distances.
    double m_busyFraction = 0; ///< Slot time used over slot time usable, while requests waited.
    int m_longestUnservedMs = 0;
    std::size_t m_saturatedTeamSeconds = 0;
    double m_firstTeamWaitP50Ms = 0; ///< Wait of the requests of the first team, whose run time is shortest.
    double m_firstTeamWaitP99Ms = 0;
    std::uint64_t m_dispatched = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_messages = 0; ///< Between entries; one message carries all demands or grants that are due.
};

/// @brief Simulates queues, escrow and slot balancing of the whole fleet in virtual time, in steps of 1 ms.
/// @param delayMs delay of a message between two entries
auto simulateShares(const ShareWorkload& workload, SharePolicy policy, std::uint64_t seed, int delayMs) -> ShareResult;

} // namespace hemlockvane::bench
