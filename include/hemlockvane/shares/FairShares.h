#pragma once

#include "hemlockvane/shares/Demand.h"

#include <cstdint>
#include <span>
#include <vector>

namespace hemlockvane {

/// @brief Weighted max-min fair shares: nobody gets more than wanted, and what is left goes by weight.
/// @param capacity in the units of the demands
/// @result one share for each demand, in the same order; their sum is at most `capacity`
/// @complexity O(n log n)
auto fairShares(std::span<const Demand> demands, double capacity) -> std::vector<double>;

/// @brief Rounds shares to whole units that keep the sum; the largest remainders plus credits are rounded up.
/// @param credits one for each share: units that the party got too little so far
/// @result whole units in the same order; each differs from its share by less than one
/// @complexity O(n log n)
auto apportion(std::span<const double> shares, std::span<const double> credits) -> std::vector<std::uint32_t>;

} // namespace hemlockvane
