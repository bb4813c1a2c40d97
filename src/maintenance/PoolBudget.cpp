#include "hemlockvane/maintenance/PoolBudget.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/log/FleetState.h"

#include <algorithm>

namespace hemlockvane {

namespace {

constexpr WallMillis millisPerSecond = 1000;

} // namespace

auto countsOf(const FleetState& state, std::string_view pool) -> PoolCounts
{
    return { sizeOf(state.m_pools, pool), unavailableIn(state.m_pools, pool) };
}

auto budgetLeft(const FleetState& state, std::string_view pool, const PoolCounts& counts, WallMillis at) -> std::int64_t
{
    const auto budget = effectiveValue(state.m_configuration, "pool.budget", pool, at).m_value;
    const auto demand = effectiveValue(state.m_configuration, "pool.demand", pool, at).m_value;
    const auto left = budget - counts.m_unavailable;
    if (demand == 0)
        return left;
    const auto available = counts.m_size - counts.m_unavailable;
    return std::min(left, available + budget - demand);
}

auto mayDrainOneMore(const FleetState& state, std::string_view pool, WallMillis at) -> bool
{
    const auto drain = effectiveValue(state.m_configuration, "wave.drain_s", "", at).m_value * millisPerSecond;
    const auto counts = countsOf(state, pool);
    return budgetLeft(state, pool, counts, at) >= 1 && budgetLeft(state, pool, counts, at + drain) >= 1;
}

auto drainingPoolsWithinBudget(const FleetState& state, WallMillis at) -> std::set<std::string>
{
    std::set<std::string> pools;
    for (const auto& [id, instance] : state.m_pools.m_instances) {
        if (instance.m_drainingFor.empty() || pools.contains(instance.m_pool))
            continue;
        if (budgetLeft(state, instance.m_pool, countsOf(state, instance.m_pool), at) >= 0)
            pools.insert(instance.m_pool);
    }
    return pools;
}

} // namespace hemlockvane
