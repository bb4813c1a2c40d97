#include "hemlockvane/pools/ApplyPools.h"

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/maintenance/PoolBudget.h"

#include "hemlockvane/records.pb.h"

namespace hemlockvane {

namespace {

// Checks that an instance may leave its pool: a draining one may not, since it counts against the pool's budget until
// the drain ends; an available one may only when the remaining instances keep the budget.
auto checkLeave(const FleetState& state, const std::string& id, const InstanceRecord& instance,
    const FoldContext& context, FailureReason& reason) -> bool
{
    if (!instance.m_drainingFor.empty()) {
        fail(reason, ErrorKind::Draining, "instance " + id + " is draining");
        return false;
    }
    auto counts = countsOf(state, instance.m_pool);
    --counts.m_size;
    if (isUnavailable(instance) || budgetLeft(state, instance.m_pool, counts, context.m_stampedAt) >= 0)
        return true;
    fail(reason, ErrorKind::OverBudget, "pool " + instance.m_pool + " would leave its budget without " + id);
    return false;
}

} // namespace

auto apply(FleetState& state, const wire::AddInstance& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    auto& pools = state.m_pools;
    if (change.instance().empty() || change.pool().empty())
        return fail(reason, ErrorKind::BadRequest, "an instance needs an id and a pool");
    if (pools.m_instances.contains(change.instance()))
        return fail(reason, ErrorKind::Conflict, "instance " + change.instance() + " is in a pool already");
    InstanceRecord instance;
    instance.m_pool = change.pool();
    instance.m_zone = change.zone();
    instance.m_rack = change.rack();
    instance.m_cores = change.capacity().cores();
    instance.m_memoryMb = change.capacity().memory_mb();
    instance.m_accelerators = change.capacity().accelerators();
    countInstance(pools, instance);
    pools.m_instances[change.instance()] = std::move(instance);
    return context.m_offset;
}

auto apply(FleetState& state, const wire::RemoveInstance& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    auto& pools = state.m_pools;
    const auto found = pools.m_instances.find(change.instance());
    if (found == pools.m_instances.end())
        return fail(reason, ErrorKind::NotFound, "there is no instance " + change.instance());
    if (!checkLeave(state, change.instance(), found->second, context, reason))
        return std::nullopt;
    uncountInstance(pools, found->second);
    pools.m_instances.erase(found);
    return context.m_offset;
}

auto apply(FleetState& state, const wire::MoveInstance& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    auto& pools = state.m_pools;
    const auto found = pools.m_instances.find(change.instance());
    if (found == pools.m_instances.end())
        return fail(reason, ErrorKind::NotFound, "there is no instance " + change.instance());
    auto& instance = found->second;
    if (instance.m_pool != change.from_pool())
        return fail(reason, ErrorKind::Conflict, "instance " + change.instance() + " is in pool " + instance.m_pool);
    if (change.to_pool().empty() || change.to_pool() == change.from_pool())
        return fail(reason, ErrorKind::BadRequest, "a move needs another pool to go to");
    if (!instance.m_available)
        return fail(reason, ErrorKind::Conflict, "instance " + change.instance() + " is failed and cannot move");
    if (!checkLeave(state, change.instance(), instance, context, reason))
        return std::nullopt;
    uncountInstance(pools, instance);
    instance.m_pool = change.to_pool();
    ++instance.m_moves;
    countInstance(pools, instance);
    return context.m_offset;
}

auto apply(FleetState& state, const wire::MarkInstance& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    auto& pools = state.m_pools;
    const auto found = pools.m_instances.find(change.instance());
    if (found == pools.m_instances.end())
        return fail(reason, ErrorKind::NotFound, "there is no instance " + change.instance());
    uncountInstance(pools, found->second);
    found->second.m_available = change.available();
    countInstance(pools, found->second);
    return context.m_offset;
}

} // namespace hemlockvane
