#pragma once

#include "hemlockvane/limits/TeamShare.h"
#include "hemlockvane/shares/SlotEntry.h"
#include "hemlockvane/shares/SlotExecutor.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace hemlockvane {

/// @brief Assignment of a service's slots to entries.
struct SlotPlan {
    /// Permits that each entry may keep, by executor and instance.
    std::map<std::string, std::map<std::string, std::uint32_t, std::less<>>, std::less<>> m_targets;
    /// Each entry's shares by team, by instance.
    std::map<std::string, std::vector<TeamShare>, std::less<>> m_shares;
    /// Slots each entry is entitled to, in the order of the entries.
    std::vector<double> m_entitlement;
};

/// @brief Plans a service's slots: computes fair shares by team over the fleet, divides each team's share among the
/// entries in proportion to its demand there, and spreads the remaining slots evenly.
///
/// A slot moves only if another entry is entitled to it. An entry gets additional slots in its own availability zone
/// first, and there at the executor with the most free slots.
/// @param weights by team; a team that is missing has weight 1
/// @param credits one for each entry: slots by which it is below its share so far
/// @complexity about slots times executors, plus n log n in teams
auto planSlots(std::span<const SlotEntry> entries, std::span<const SlotExecutor> executors,
    const std::map<std::string, double, std::less<>>& weights, std::span<const double> credits) -> SlotPlan;

} // namespace hemlockvane
