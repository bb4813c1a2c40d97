#include "hemlockvane/maintenance/ApplyMaintenance.h"

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/maintenance/FindLostInstances.h"
#include "hemlockvane/maintenance/PoolBudget.h"

#include "hemlockvane/records.pb.h"

#include <algorithm>

namespace hemlockvane {

namespace {

auto checkFence(const FleetState& state, const wire::Fence& fence, FailureReason& reason) -> bool
{
    if (fence.duty() == maintenanceDuty && isFenceValid(state.m_membership, fence.duty(), fence.epoch()))
        return true;
    fail(reason, ErrorKind::StaleEpoch, "the maintenance duty has another epoch");
    return false;
}

auto drainsNothing(const FleetState& state, const std::string& wave) -> bool
{
    const auto& instances = state.m_pools.m_instances;
    return std::none_of(
        instances.begin(), instances.end(), [&](const auto& item) { return item.second.m_drainingFor == wave; });
}

// Removes the wave that started first among those that drain no instance.
auto evictOldestWave(FleetState& state) -> void
{
    auto& waves = state.m_maintenance.m_waves;
    auto oldest = waves.end();
    for (auto it = waves.begin(); it != waves.end(); ++it) {
        const auto older = oldest == waves.end() || it->second.m_startedAt < oldest->second.m_startedAt;
        if (older && drainsNothing(state, it->first))
            oldest = it;
    }
    if (oldest != waves.end())
        waves.erase(oldest);
}

} // namespace

auto apply(FleetState& state, const wire::StartWave& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    auto& waves = state.m_maintenance.m_waves;
    if (change.wave().empty() || change.reason().empty())
        return fail(reason, ErrorKind::BadRequest, "a wave needs an id and a reason");
    if (waves.contains(change.wave()))
        return fail(reason, ErrorKind::Conflict, "wave " + change.wave() + " was started before");
    if (waves.size() >= maximumWaves)
        evictOldestWave(state);
    auto& wave = waves[change.wave()];
    wave.m_startedAt = context.m_offset;
    wave.m_pools.assign(change.pools().begin(), change.pools().end());
    wave.m_finishBy = change.finish_by_ms();
    wave.m_reason = change.reason();
    wave.m_author = change.author();
    return context.m_offset;
}

auto apply(FleetState& state, const wire::PauseWave& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    const auto found = state.m_maintenance.m_waves.find(change.wave());
    if (found == state.m_maintenance.m_waves.end())
        return fail(reason, ErrorKind::NotFound, "there is no wave " + change.wave());
    found->second.m_paused = change.paused();
    found->second.m_reason = change.reason();
    if (!change.paused())
        found->second.m_acceptedHarm = static_cast<std::uint32_t>(findLostInstances(state, found->second).size());
    return context.m_offset;
}

auto apply(FleetState& state, const wire::BeginDrain& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    if (!checkFence(state, change.fence(), reason))
        return std::nullopt;
    const auto wave = state.m_maintenance.m_waves.find(change.wave());
    if (wave == state.m_maintenance.m_waves.end() || wave->second.m_paused)
        return fail(reason, ErrorKind::Conflict, "wave " + change.wave() + " is paused or unknown");
    const auto found = state.m_pools.m_instances.find(change.instance());
    if (found == state.m_pools.m_instances.end())
        return fail(reason, ErrorKind::NotFound, "there is no instance " + change.instance());
    auto& instance = found->second;
    if (!includesPool(wave->second, instance.m_pool) || wave->second.m_done.contains(change.instance()))
        return fail(reason, ErrorKind::Conflict, "instance " + change.instance() + " is not due in this wave");
    if (isUnavailable(instance))
        return fail(reason, ErrorKind::Conflict, "instance " + change.instance() + " is failed or draining");
    if (!mayDrainOneMore(state, instance.m_pool, context.m_stampedAt))
        return fail(reason, ErrorKind::OverBudget, "pool " + instance.m_pool + " has no budget left");
    uncountInstance(state.m_pools, instance);
    instance.m_drainingFor = change.wave();
    instance.m_drainingSince = context.m_stampedAt;
    countInstance(state.m_pools, instance);
    return context.m_offset;
}

auto apply(FleetState& state, const wire::EndDrain& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    if (!checkFence(state, change.fence(), reason))
        return std::nullopt;
    const auto found = state.m_pools.m_instances.find(change.instance());
    if (found == state.m_pools.m_instances.end() || found->second.m_drainingFor != change.wave())
        return fail(reason, ErrorKind::Conflict, "instance " + change.instance() + " does not drain in this wave");
    uncountInstance(state.m_pools, found->second);
    found->second.m_drainingFor.clear();
    found->second.m_drainingSince = 0;
    found->second.m_available = change.healthy();
    countInstance(state.m_pools, found->second);
    auto& wave = state.m_maintenance.m_waves[change.wave()];
    if (change.healthy()) {
        wave.m_done.insert(change.instance());
        wave.m_failed.erase(change.instance());
    } else {
        wave.m_failed.insert(change.instance());
    }
    return context.m_offset;
}

} // namespace hemlockvane
