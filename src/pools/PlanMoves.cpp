#include "hemlockvane/pools/PlanMoves.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/configuration/EvacuatedZones.h"
#include "hemlockvane/maintenance/PoolBudget.h"
#include "hemlockvane/pools/RequiredSpareInstances.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace hemlockvane {

namespace {

struct PoolBalance {
    std::string_view m_pool;
    bool m_isSpare = false;
    std::int64_t m_available = 0;
    std::int64_t m_demand = 0;
    std::int64_t m_retained = 0; // Instances that it keeps for its recent peak demand.
    std::vector<std::string_view> m_movable;
    std::map<std::string_view, std::int64_t> m_byZone;
    std::map<std::string_view, std::int64_t> m_byRack;
};

struct MovePlan {
    const FleetState& m_fleet;
    MovePlanState& m_state;
    const MoveInput& m_input;
    std::map<std::string_view, PoolBalance> m_pools;
    std::vector<MoveAction> m_actions;
};

auto isPastCooldown(const MovePlan& plan, std::string_view id) -> bool
{
    const auto found = plan.m_state.m_movedAt.find(id);
    return found == plan.m_state.m_movedAt.end()
        || plan.m_input.m_now - found->second >= plan.m_state.m_limits.m_moveCooldown;
}

auto demandOf(const MovePlan& plan, std::string_view pool) -> std::int64_t
{
    const auto found = plan.m_input.m_demand.find(pool);
    if (found != plan.m_input.m_demand.end())
        return found->second;
    return effectiveValue(plan.m_fleet.m_configuration, "pool.demand", pool, plan.m_input.m_now).m_value;
}

// A demand counts as a peak when the pool's instances meet it, or when the pool has been short for long enough.
auto trackDemand(MovePlan& plan, PoolBalance& balance) -> void
{
    const auto now = plan.m_input.m_now;
    auto& demand = plan.m_state.m_demand[std::string(balance.m_pool)];
    demand.m_now = balance.m_demand;
    if (balance.m_demand <= balance.m_available)
        demand.m_shortageSince.reset();
    else if (!demand.m_shortageSince)
        demand.m_shortageSince = now;
    const auto isNew = demand.m_shortageSince == now;
    demand.m_sustained = isNew ? balance.m_demand : std::min(demand.m_sustained, balance.m_demand);
    const auto isSustained
        = !demand.m_shortageSince || now - *demand.m_shortageSince >= plan.m_state.m_limits.m_shortageDelay;
    const auto isPeakExpired = now - demand.m_peakAt > plan.m_state.m_limits.m_peakRetention;
    const auto sustainedDemand = demand.m_shortageSince ? demand.m_sustained : balance.m_demand;
    if (isSustained && (sustainedDemand >= demand.m_peak || isPeakExpired)) {
        demand.m_peak = sustainedDemand;
        demand.m_peakAt = now;
    }
    balance.m_retained = std::max(demand.m_peak, std::min(balance.m_demand, balance.m_available));
}

auto collectPools(MovePlan& plan) -> void
{
    const auto evacuated = evacuatedZones(plan.m_fleet.m_configuration, plan.m_input.m_now);
    for (const auto& [id, instance] : plan.m_fleet.m_pools.m_instances) {
        auto& balance = plan.m_pools[instance.m_pool];
        const auto inFlight = plan.m_state.m_inFlight.find(id);
        if (inFlight != plan.m_state.m_inFlight.end())
            ++plan.m_pools[inFlight->second].m_available;
        if (inFlight != plan.m_state.m_inFlight.end() || isUnavailable(instance))
            continue;
        ++balance.m_available;
        ++balance.m_byZone[instance.m_zone];
        ++balance.m_byRack[instance.m_rack];
        // An instance in an evacuated zone would bring no capacity that may be used.
        if (isPastCooldown(plan, id) && !evacuated.contains(instance.m_zone))
            balance.m_movable.push_back(id);
    }
    for (auto& [pool, balance] : plan.m_pools) {
        balance.m_pool = pool;
        balance.m_isSpare = isSpare(plan.m_fleet.m_configuration, pool, plan.m_input.m_now);
        balance.m_demand = balance.m_isSpare ? 0 : demandOf(plan, pool);
        if (!balance.m_isSpare)
            trackDemand(plan, balance);
    }
}

auto countOf(const std::map<std::string_view, std::int64_t>& counts, std::string_view domain) -> std::int64_t
{
    const auto found = counts.find(domain);
    return found == counts.end() ? 0 : found->second;
}

auto runningOn(const MovePlan& plan, std::string_view id) -> std::size_t
{
    const auto found = plan.m_fleet.m_jobs.m_runningByWorker.find(id);
    return found == plan.m_fleet.m_jobs.m_runningByWorker.end() ? 0 : found->second.size();
}

// Moves the instance that spreads the receiving pool best over zones and racks and runs the fewest jobs.
auto moveOne(MovePlan& plan, PoolBalance& from, PoolBalance& to, std::string reason) -> bool
{
    const auto rank = [&](std::string_view id) {
        const auto& instance = plan.m_fleet.m_pools.m_instances.find(id)->second;
        return std::tuple(countOf(to.m_byZone, instance.m_zone), countOf(to.m_byRack, instance.m_rack),
            runningOn(plan, id), -countOf(from.m_byZone, instance.m_zone), id);
    };
    const auto best = std::min_element(
        from.m_movable.begin(), from.m_movable.end(), [&](auto a, auto b) { return rank(a) < rank(b); });
    if (best == from.m_movable.end())
        return false;
    const auto& [id, instance] = *plan.m_fleet.m_pools.m_instances.find(*best);
    from.m_movable.erase(best);
    --from.m_available;
    --from.m_byZone[instance.m_zone];
    --from.m_byRack[instance.m_rack];
    ++to.m_available;
    ++to.m_byZone[instance.m_zone];
    ++to.m_byRack[instance.m_rack];
    plan.m_state.m_inFlight[id] = to.m_pool;
    plan.m_actions.push_back({ id, std::string(from.m_pool), std::string(to.m_pool), std::move(reason) });
    return true;
}

auto keepsBudget(const MovePlan& plan, const PoolBalance& from) -> bool
{
    const auto folded = countsOf(plan.m_fleet, from.m_pool);
    const PoolCounts after { from.m_available - 1 + folded.m_unavailable, folded.m_unavailable };
    return budgetLeft(plan.m_fleet, from.m_pool, after, plan.m_input.m_now) >= 0;
}

auto surplusOf(const PoolBalance& balance) -> std::int64_t { return balance.m_available - balance.m_retained; }

// The pool with the largest surplus among the spare pools or among the others; null when none can give up an instance.
auto chooseDonor(MovePlan& plan, bool spareOnly) -> PoolBalance*
{
    PoolBalance* best = nullptr;
    for (auto& [pool, balance] : plan.m_pools) {
        if (balance.m_isSpare != spareOnly || balance.m_movable.empty() || surplusOf(balance) <= 0
            || !keepsBudget(plan, balance))
            continue;
        if (best == nullptr || surplusOf(balance) > surplusOf(*best))
            best = &balance;
    }
    return best;
}

auto mayMove(const MovePlan& plan) -> bool
{
    return static_cast<std::int64_t>(plan.m_actions.size()) < plan.m_state.m_limits.m_maxMovesPerPlan;
}

auto shortPools(MovePlan& plan) -> std::vector<PoolBalance*>
{
    std::vector<PoolBalance*> pools;
    for (auto& [pool, balance] : plan.m_pools) {
        if (balance.m_isSpare || balance.m_demand <= balance.m_available)
            continue;
        const auto& demand = plan.m_state.m_demand.find(pool)->second;
        if (plan.m_input.m_now - *demand.m_shortageSince >= plan.m_state.m_limits.m_shortageDelay)
            pools.push_back(&balance);
    }
    // Sorted by the fraction of the demand that is met, lowest first.
    std::sort(pools.begin(), pools.end(), [](const auto* a, const auto* b) {
        return std::tuple(a->m_available * b->m_demand, a->m_pool)
            < std::tuple(b->m_available * a->m_demand, b->m_pool);
    });
    return pools;
}

auto fillShortPools(MovePlan& plan) -> void
{
    for (auto* balance : shortPools(plan)) {
        const auto sustained = plan.m_state.m_demand.find(balance->m_pool)->second.m_sustained;
        while (balance->m_available < sustained && mayMove(plan)) {
            auto* donor = chooseDonor(plan, true);
            if (donor == nullptr)
                donor = chooseDonor(plan, false);
            if (donor == nullptr || !moveOne(plan, *donor, *balance, "the pool lacks instances for its demand"))
                break;
        }
    }
}

} // namespace

auto planMoves(const FleetState& fleet, MovePlanState& state, const MoveInput& input) -> std::vector<MoveAction>
{
    if (!input.m_mayAct)
        return {};
    std::erase_if(
        state.m_movedAt, [&](const auto& item) { return input.m_now - item.second >= state.m_limits.m_moveCooldown; });
    MovePlan plan { fleet, state, input, {}, {} };
    collectPools(plan);
    fillShortPools(plan);
    return std::move(plan.m_actions);
}

auto onMoveRecorded(MovePlanState& state, std::string_view instance, bool accepted, WallMillis now) -> void
{
    state.m_inFlight.erase(std::string(instance));
    if (accepted)
        state.m_movedAt[std::string(instance)] = now;
}

} // namespace hemlockvane
