#pragma once

#include "hemlockvane/maintenance/PoolCounts.h"
#include "hemlockvane/time/Time.h"

#include <set>
#include <string>
#include <string_view>

namespace hemlockvane {

struct FleetState;

/// @brief A pool's counts as folded.
auto countsOf(const FleetState& state, std::string_view pool) -> PoolCounts;

/// @brief How many more instances of a pool may become unavailable at a moment; negative when it is over its budget.
///
/// A pool is within its budget when at most `pool.budget` instances are unavailable and, where `pool.demand` is
/// declared, at least demand minus budget are available. The second part stops instances from being moved out of a
/// pool to make room for further drains.
auto budgetLeft(const FleetState& state, std::string_view pool, const PoolCounts& counts, WallMillis at)
    -> std::int64_t;

/// @brief True when one more drain keeps the budget now and until the longest drain ends, by when an exception may
/// have expired.
auto mayDrainOneMore(const FleetState& state, std::string_view pool, WallMillis at) -> bool;

/// @brief Pools that have a draining instance and are within their budget.
/// @complexity linear in the instances
auto drainingPoolsWithinBudget(const FleetState& state, WallMillis at) -> std::set<std::string>;

} // namespace hemlockvane
