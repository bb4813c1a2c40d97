#include "hemlockvane/maintenance/ApplyMaintenance.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/log/FleetState.h"

#include "hemlockvane/records.pb.h"

#include <algorithm>

namespace hemlockvane {

namespace {

auto covers(const WaveRecord& wave, const std::string& pool) -> bool
{
    return wave.m_pools.empty() || std::find(wave.m_pools.begin(), wave.m_pools.end(), pool) != wave.m_pools.end();
}

auto withinBudget(const FleetState& state, const std::string& pool, const FoldContext& context) -> bool
{
    const auto budget = effectiveValue(state.m_configuration, "pool.budget", pool, context.m_stampedAt);
    return static_cast<std::int64_t>(unavailableIn(state.m_pools, pool)) + 1 <= budget.m_value;
}

} // namespace

auto apply(FleetState& state, const wire::StartWave& change, const FoldContext& context, LastReason& reason)
    -> std::optional<Applied>
{
    auto& waves = state.m_maintenance.m_waves;
    if (change.wave().empty() || change.reason().empty())
        return fail(reason, ErrorKind::BadRequest, "a wave needs an id and a reason");
    if (waves.contains(change.wave()))
        return fail(reason, ErrorKind::Conflict, "wave " + change.wave() + " was started before");
    auto& wave = waves[change.wave()];
    wave.m_pools.assign(change.pools().begin(), change.pools().end());
    wave.m_finishBy = change.finish_by_ms();
    wave.m_reason = change.reason();
    wave.m_author = change.author();
    return context.m_offset;
}

auto apply(FleetState& state, const wire::PauseWave& change, const FoldContext& context, LastReason& reason)
    -> std::optional<Applied>
{
    const auto found = state.m_maintenance.m_waves.find(change.wave());
    if (found == state.m_maintenance.m_waves.end())
        return fail(reason, ErrorKind::NotFound, "there is no wave " + change.wave());
    found->second.m_paused = change.paused();
    found->second.m_reason = change.reason();
    return context.m_offset;
}

auto apply(FleetState& state, const wire::BeginDrain& change, const FoldContext& context, LastReason& reason)
    -> std::optional<Applied>
{
    if (!fenceHolds(state.m_membership, change.fence().duty(), change.fence().epoch()))
        return fail(reason, ErrorKind::StaleEpoch, "the maintenance duty has another epoch");
    const auto wave = state.m_maintenance.m_waves.find(change.wave());
    if (wave == state.m_maintenance.m_waves.end() || wave->second.m_paused)
        return fail(reason, ErrorKind::Conflict, "wave " + change.wave() + " is paused or unknown");
    const auto found = state.m_pools.m_instances.find(change.instance());
    if (found == state.m_pools.m_instances.end())
        return fail(reason, ErrorKind::NotFound, "there is no instance " + change.instance());
    auto& instance = found->second;
    if (!covers(wave->second, instance.m_pool) || wave->second.m_done.contains(change.instance()))
        return fail(reason, ErrorKind::Conflict, "instance " + change.instance() + " is not due in this wave");
    if (isUnavailable(instance))
        return fail(reason, ErrorKind::Conflict, "instance " + change.instance() + " is failed or draining");
    if (!withinBudget(state, instance.m_pool, context))
        return fail(reason, ErrorKind::OverBudget, "pool " + instance.m_pool + " has no budget left");
    uncountInstance(state.m_pools, instance);
    instance.m_drainingFor = change.wave();
    countInstance(state.m_pools, instance);
    return context.m_offset;
}

auto apply(FleetState& state, const wire::EndDrain& change, const FoldContext& context, LastReason& reason)
    -> std::optional<Applied>
{
    if (!fenceHolds(state.m_membership, change.fence().duty(), change.fence().epoch()))
        return fail(reason, ErrorKind::StaleEpoch, "the maintenance duty has another epoch");
    const auto found = state.m_pools.m_instances.find(change.instance());
    if (found == state.m_pools.m_instances.end() || found->second.m_drainingFor != change.wave())
        return fail(reason, ErrorKind::Conflict, "instance " + change.instance() + " does not drain in this wave");
    uncountInstance(state.m_pools, found->second);
    found->second.m_drainingFor.clear();
    found->second.m_available = change.healthy();
    countInstance(state.m_pools, found->second);
    auto& wave = state.m_maintenance.m_waves[change.wave()];
    if (change.healthy())
        wave.m_done.insert(change.instance());
    else
        wave.m_failed.insert(change.instance());
    return context.m_offset;
}

} // namespace hemlockvane
