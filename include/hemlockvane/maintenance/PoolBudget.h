#pragma once

#include "hemlockvane/maintenance/PoolCounts.h"
#include "hemlockvane/time/Time.h"

#include <set>
#include <string>
#include <string_view>

namespace hemlockvane {

struct FleetState;

/// @brief Size and unavailable instances of a pool in the folded state.
auto countsOf(const FleetState& state, std::string_view pool) -> PoolCounts;

/// @brief Number of further instances of a pool that may become unavailable at a time; negative when over budget.
///
/// A pool is within its budget when at most `pool.budget` instances are unavailable and, if `pool.demand` is set, at
/// least demand minus budget are available. The second condition prevents instances from being moved out of a pool to
/// allow further drains.
auto budgetLeft(const FleetState& state, std::string_view pool, const PoolCounts& counts, WallMillis at)
    -> std::int64_t;

/// @brief True when one more drain keeps the budget both now and after `wave.drain_s`, by when an exception to the
/// budget may have expired.
auto mayDrainOneMore(const FleetState& state, std::string_view pool, WallMillis at) -> bool;

/// @brief Pools that have a draining instance and are within their budget.
/// @complexity linear in the instances
auto drainingPoolsWithinBudget(const FleetState& state, WallMillis at) -> std::set<std::string>;

} // namespace hemlockvane
