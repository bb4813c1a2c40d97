#pragma once

#include "hemlockvane/shares/Demand.h"

#include <cstdint>
#include <span>
#include <vector>

namespace hemlockvane {

/// @brief Computes weighted max-min fair shares: no share exceeds its demand, and the rest is divided by weight.
/// @param capacity in the units of the demands
/// @result one share for each demand, in the same order; their sum is at most `capacity`
/// @complexity O(n log n)
auto fairShares(std::span<const Demand> demands, double capacity) -> std::vector<double>;

/// @brief Rounds shares to whole units and keeps their sum, by the largest remainder method. Credits are added to the
/// remainders.
/// @param credits one for each share: units by which the party is below its share so far
/// @result whole units in the same order; each differs from its share by less than one
/// @complexity O(n log n)
auto apportion(std::span<const double> shares, std::span<const double> credits) -> std::vector<std::uint32_t>;

} // namespace hemlockvane
