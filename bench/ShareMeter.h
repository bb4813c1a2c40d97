#pragma once

#include "ShareWorkload.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace hemlockvane::bench {

/// @brief Measures, for each second, how far the teams' use of one service is from their fair shares.
///
/// A second is saturated when demand is at least the number of slots in each of its milliseconds. A team's demand in a
/// second is the slot time that its requests could use in it: for each running or waiting request, the rest of its run
/// or the rest of the second, whichever is shorter. A team is entitled to its weighted max-min fair share of the slots
/// of the whole fleet by these demands. The share distance is |used - entitled| / entitled, for teams entitled to one
/// slot or more.
/// The sampled distance uses the number of running and waiting requests in each millisecond as demand instead, so a
/// waiting request counts for more than it can use.
/// SlotMs is the unit of slot time: one slot in use for one millisecond.
struct ShareMeter {
    double m_capacity = 0; ///< Slots.
    std::vector<double> m_weights;
    std::vector<double> m_usedSlotMs; ///< Slot time used in the present second, by team.
    std::vector<double> m_demandSlotMs; ///< Slot time that could be used in the present second, by team.
    std::vector<double> m_sampledShareSlotMs; ///< Fair share by sampled demand in the present second, by team.
    bool m_isSaturated = true; ///< Whether the present second is saturated so far.
    int m_samples = 0; ///< Milliseconds sampled in the present second.
    std::vector<double> m_distances; ///< Share distances, one for each entitled team and saturated second.
    std::vector<double> m_sampledDistances;
    double m_busySlotMs = 0; ///< Slot time used while requests waited.
    double m_usableSlotMs = 0; ///< Slot time that demand could have used while requests waited.
    std::vector<int> m_unservedMs; ///< By team: how long requests have waited without any being started.
    int m_longestUnservedMs = 0;
};

/// @brief Adds the sample of one millisecond.
/// @param running, waiting, started number of requests by team
/// @result true at the end of a second; the caller then adds the demand of all present requests for the next second
auto sample(ShareMeter& meter, std::span<const int> running, std::span<const int> waiting, std::span<const int> started)
    -> bool;

/// @brief Milliseconds left in the present second.
auto remainingMsOfSecond(const ShareMeter& meter) -> int;

/// @brief Adds a request to the demand of the present second.
/// @param runMs rest of its run time, ms
auto addDemand(ShareMeter& meter, int team, int runMs) -> void;

} // namespace hemlockvane::bench
