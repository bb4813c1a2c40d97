#pragma once

#include "ShareWorkload.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace hemlockvane::bench {

/// @brief Measures how near teams come to their shares of one service, second by second.
///
/// A second is full when more is wanted than there are slots all through it. A team's demand in a second is the slot
/// time that its requests could use in it: for each request that is there, the rest of its run or of the second,
/// whichever is shorter. Entitled is the weighted max-min share of these demands over the whole fleet; the share
/// distance is |got - entitled| / entitled, for teams entitled to one slot or more.
/// The sampled distance takes requests running and waiting in each millisecond for the demand instead, so a request
/// that waits counts for more than it can use.
struct ShareMeter {
    double m_capacity = 0; ///< Slots.
    std::vector<double> m_weights;
    std::vector<double> m_usedSlotMs; ///< In the present second, by team, slot milliseconds.
    std::vector<double> m_demandSlotMs; ///< Slot milliseconds that could be used in the present second, by team.
    std::vector<double> m_sampledShareSlotMs; ///< Entitled by sampled demand, slot milliseconds.
    bool m_isSaturated = true;
    int m_samples = 0;
    std::vector<double> m_distances; ///< One for each team and full second.
    std::vector<double> m_sampledDistances;
    double m_busySlotMs = 0; ///< Slot milliseconds used while demand waited.
    double m_usableSlotMs = 0;
    std::vector<int> m_unservedMs; ///< Present time with demand and without a start, by team.
    int m_longestUnservedMs = 0;
};

/// @brief Counts one millisecond.
/// @param running, waiting, started by team
/// @result true at the end of a second: the work of all requests that are there has to be added for the next
auto sample(ShareMeter& meter, std::span<const int> running, std::span<const int> waiting, std::span<const int> started)
    -> bool;

/// @brief Milliseconds left of the present second.
auto remainingMsOfSecond(const ShareMeter& meter) -> int;

/// @brief Counts a request as demand of the present second.
/// @param runMs what is left of its run
auto addDemand(ShareMeter& meter, int team, int runMs) -> void;

} // namespace hemlockvane::bench
