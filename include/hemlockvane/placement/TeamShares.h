#pragma once

#include "hemlockvane/placement/TeamEntitlement.h"

#include <cstdint>
#include <span>

namespace hemlockvane {

/// @brief Fills in each team's entitlement: weighted max-min of the capacity by demand.
/// @param capacity in millicores
/// @complexity teams times their logarithm
auto computeMaxMinShares(std::span<TeamEntitlement> teams, std::int64_t capacity) -> void;

} // namespace hemlockvane
