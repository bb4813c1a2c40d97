#include "hemlockvane/pools/PlanMoves.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/maintenance/PoolBudget.h"
#include "hemlockvane/pools/RequiredSpareInstances.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace hemlockvane {

namespace {

struct PoolView {
    std::string_view m_pool;
    bool m_isSpare = false;
    std::int64_t m_available = 0;
    std::int64_t m_demand = 0;
    std::int64_t m_kept = 0; // What it does not give away: its recent peak.
    std::vector<std::string_view> m_movable;
    std::map<std::string_view, std::int64_t> m_byZone;
    std::map<std::string_view, std::int64_t> m_byRack;
};

struct MovePlan {
    const FleetState& m_fleet;
    MovePlanState& m_state;
    const MoveInput& m_input;
    std::map<std::string_view, PoolView> m_pools;
    std::vector<MoveAction> m_actions;
};

auto isRested(const MovePlan& plan, std::string_view id) -> bool
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

// A demand counts as a peak once it left the pool short for long enough, or was met by what the pool has.
auto trackDemand(MovePlan& plan, PoolView& view) -> void
{
    const auto now = plan.m_input.m_now;
    auto& demand = plan.m_state.m_demand[std::string(view.m_pool)];
    demand.m_now = view.m_demand;
    if (view.m_demand <= view.m_available)
        demand.m_shortageSince.reset();
    else if (!demand.m_shortageSince)
        demand.m_shortageSince = now;
    const auto isNew = demand.m_shortageSince == now;
    demand.m_sustained = isNew ? view.m_demand : std::min(demand.m_sustained, view.m_demand);
    const auto lasted
        = !demand.m_shortageSince || now - *demand.m_shortageSince >= plan.m_state.m_limits.m_shortageDelay;
    const auto isOver = now - demand.m_peakAt > plan.m_state.m_limits.m_peakRetention;
    const auto lastingNow = demand.m_shortageSince ? demand.m_sustained : view.m_demand;
    if (lasted && (lastingNow >= demand.m_peak || isOver)) {
        demand.m_peak = lastingNow;
        demand.m_peakAt = now;
    }
    view.m_kept = std::max(demand.m_peak, std::min(view.m_demand, view.m_available));
}

auto collectPools(MovePlan& plan) -> void
{
    for (const auto& [id, instance] : plan.m_fleet.m_pools.m_instances) {
        auto& view = plan.m_pools[instance.m_pool];
        const auto inFlight = plan.m_state.m_inFlight.find(id);
        if (inFlight != plan.m_state.m_inFlight.end())
            ++plan.m_pools[inFlight->second].m_available;
        if (inFlight != plan.m_state.m_inFlight.end() || isUnavailable(instance))
            continue;
        ++view.m_available;
        ++view.m_byZone[instance.m_zone];
        ++view.m_byRack[instance.m_rack];
        if (isRested(plan, id))
            view.m_movable.push_back(id);
    }
    for (auto& [pool, view] : plan.m_pools) {
        view.m_pool = pool;
        view.m_isSpare = isSpare(plan.m_fleet.m_configuration, pool, plan.m_input.m_now);
        view.m_demand = view.m_isSpare ? 0 : demandOf(plan, pool);
        if (!view.m_isSpare)
            trackDemand(plan, view);
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

// Takes the instance that spreads the receiving pool best and disturbs fewest jobs.
auto moveOne(MovePlan& plan, PoolView& from, PoolView& to, std::string reason) -> bool
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

auto keepsBudget(const MovePlan& plan, const PoolView& from) -> bool
{
    const auto folded = countsOf(plan.m_fleet, from.m_pool);
    const PoolCounts after { from.m_available - 1 + folded.m_unavailable, folded.m_unavailable };
    return budgetLeft(plan.m_fleet, from.m_pool, after, plan.m_input.m_now) >= 0;
}

auto spareOf(const PoolView& view) -> std::int64_t { return view.m_available - view.m_kept; }

// The spare pool with most instances, else the pool with most beyond its recent peak; null when none can give.
auto chooseGiver(MovePlan& plan, bool spareOnly) -> PoolView*
{
    PoolView* best = nullptr;
    for (auto& [pool, view] : plan.m_pools) {
        if (view.m_isSpare != spareOnly || view.m_movable.empty() || spareOf(view) <= 0 || !keepsBudget(plan, view))
            continue;
        if (best == nullptr || spareOf(view) > spareOf(*best))
            best = &view;
    }
    return best;
}

auto mayMove(const MovePlan& plan) -> bool
{
    return static_cast<std::int64_t>(plan.m_actions.size()) < plan.m_state.m_limits.m_maxMovesPerPlan;
}

auto shortPools(MovePlan& plan) -> std::vector<PoolView*>
{
    std::vector<PoolView*> pools;
    for (auto& [pool, view] : plan.m_pools) {
        if (view.m_isSpare || view.m_demand <= view.m_available)
            continue;
        const auto& demand = plan.m_state.m_demand.find(pool)->second;
        if (plan.m_input.m_now - *demand.m_shortageSince >= plan.m_state.m_limits.m_shortageDelay)
            pools.push_back(&view);
    }
    // The pool that lacks the largest part of its demand first.
    std::sort(pools.begin(), pools.end(), [](const auto* a, const auto* b) {
        return std::tuple(a->m_available * b->m_demand, a->m_pool)
            < std::tuple(b->m_available * a->m_demand, b->m_pool);
    });
    return pools;
}

auto fillShortPools(MovePlan& plan) -> void
{
    for (auto* view : shortPools(plan)) {
        const auto lasting = plan.m_state.m_demand.find(view->m_pool)->second.m_sustained;
        while (view->m_available < lasting && mayMove(plan)) {
            auto* giver = chooseGiver(plan, true);
            if (giver == nullptr)
                giver = chooseGiver(plan, false);
            if (giver == nullptr || !moveOne(plan, *giver, *view, "the pool lacks instances for its demand"))
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
