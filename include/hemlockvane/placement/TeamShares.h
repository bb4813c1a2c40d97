#pragma once

#include "hemlockvane/placement/TeamEntitlement.h"

#include <cstdint>
#include <span>

namespace hemlockvane {

/// @brief Sets each team's `m_entitled` to its weighted max-min fair share of the capacity, limited by its demand.
/// @param capacity to divide, in millicores
/// @complexity teams times their logarithm
auto computeMaxMinShares(std::span<TeamEntitlement> teams, std::int64_t capacity) -> void;

} // namespace hemlockvane
