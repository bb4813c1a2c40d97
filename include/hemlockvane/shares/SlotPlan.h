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

/// @brief Who may keep which slots of one service.
struct SlotPlan {
    /// Permits each entry may keep, by executor and instance.
    std::map<std::string, std::map<std::string, std::uint32_t, std::less<>>, std::less<>> m_targets;
    /// Each entry's part by team, by instance.
    std::map<std::string, std::vector<TeamShare>, std::less<>> m_shares;
    /// Slots each entry is entitled to, in the order of the entries.
    std::vector<double> m_entitlement;
};

/// @brief Plans a service's slots: fair shares of the fleet's demand by team, divided among entries by where the
/// demand is; what nobody wants is spread evenly as idle slots.
///
/// Slots stay where they are unless another entry is entitled to them; new ones are taken in the entry's own
/// availability zone first, and where most slots are free.
/// @param weights by team; a team that is missing has weight 1
/// @param credits one for each entry: slots that it had too few so far
/// @complexity about slots times executors, plus n log n in teams
auto planSlots(std::span<const SlotEntry> entries, std::span<const SlotExecutor> executors,
    const std::map<std::string, double, std::less<>>& weights, std::span<const double> credits) -> SlotPlan;

} // namespace hemlockvane
