#include "hemlockvane/detail/coordinator/FleetViews.h"

#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/MachineOrders.h"
#include "hemlockvane/fleet/MeasurePools.h"
#include "hemlockvane/fleet/PlanMachineWave.h"
#include "hemlockvane/fleet/ReadMachines.h"
#include "hemlockvane/scheduling/MeasureDemand.h"

#include <algorithm>

namespace hemlockvane::detail {

namespace {

auto findExecutor(CoordinatorState& state, const std::string& id) -> scheduling::Executor*
{
    const auto found = state.m_scheduler.m_executorById.find(id);
    return found == state.m_scheduler.m_executorById.end() ? nullptr
                                                           : state.m_scheduler.m_executors[found->second].get();
}

auto isMaintenanceDue(const FleetControlState& fleetState, const std::string& machine) -> bool
{
    return std::any_of(fleetState.m_waves.begin(), fleetState.m_waves.end(),
        [&](const auto& item) { return fleet::isUpkeepPending(item.second, machine); });
}

auto viewMachine(CoordinatorState& state, const fleet::Machine& machine, Instant now) -> fleet::MachineView
{
    auto& fleetState = state.m_fleet;
    fleet::MachineView view;
    view.m_machine = machine;
    view.m_isReserved = fleetState.m_reserved.contains(machine.m_id);
    const auto ordered = fleetState.m_outstandingOrders.find(machine.m_id);
    view.m_hasPendingOrder
        = ordered != fleetState.m_outstandingOrders.end() || mayEarlierOrderArrive(fleetState, machine.m_id, now);
    // The list contains the new pool of a moving machine, but shows an order only after a short delay.
    if (machine.m_state == fleet::MachineState::Moving || machine.m_state == fleet::MachineState::Upkeep)
        view.m_destinationPool = machine.m_pool;
    else if (ordered != fleetState.m_outstandingOrders.end())
        view.m_destinationPool = ordered->second.m_pool;
    const auto drained = fleetState.m_drainedFor.find(machine.m_id);
    if (drained != fleetState.m_drainedFor.end() && view.m_isReserved)
        view.m_drainedFor = drained->second;
    view.m_isZoneEvacuated = state.m_scheduler.m_rules.m_evacuatedZones.contains(machine.m_zone);
    view.m_isSpare = state.m_scheduler.m_rules.m_spareServices.contains(machine.m_pool);
    view.m_isMaintenanceDue = isMaintenanceDue(fleetState, machine.m_id);
    if (const auto reserved = fleetState.m_reservedSince.find(machine.m_id);
        reserved != fleetState.m_reservedSince.end())
        view.m_reservedSince = reserved->second;
    auto* executor = findExecutor(state, machine.m_executorId);
    if (executor != nullptr) {
        executor->m_isReserved = view.m_isReserved;
        if (executor->m_isRegistered)
            view.m_machine.m_capacity = executor->m_entry.m_capacity; // It may shrink and grow while the executor runs.
        executor->m_isMaintenanceDue = view.m_isMaintenanceDue;
        view.m_hasExecutor = executor->m_isRegistered && !executor->m_isUnresponsive && !executor->m_entry.m_isDraining;
        view.m_mayHaveUnknownRuns = !executor->m_isReconciled && now < executor->m_earlierLeasesExpireBy;
        view.m_runs = static_cast<std::uint32_t>(executor->m_runs.size());
        view.m_activeLongRunningRuns = executor->m_activeLongRunningRuns;
        view.m_usedCpuMilliCores = executor->m_used.m_cpuMilliCores;
    }
    // Until the next list names that one, nothing is known of what runs there.
    view.m_mayHaveUnknownRuns = view.m_mayHaveUnknownRuns || fleet::hasJoinedSince(fleetState.m_machines, machine);
    auto [idle, isNew] = fleetState.m_idleSince.try_emplace(machine.m_id, now);
    if (view.m_runs > 0)
        idle->second = now;
    view.m_idleSince = idle->second;
    return view;
}

// For how long long-running tasks of the pool have wanted machines; starts and ends the count.
auto measureWaitOfLongRunning(FleetControlState& fleetState, const fleet::PoolView& pool, Instant now) -> Duration
{
    if (!pool.m_machinesForLongRunning.empty())
        return now - fleetState.m_waitOfLongRunningSince.try_emplace(pool.m_name, now).first->second;
    fleetState.m_waitOfLongRunningSince.erase(pool.m_name);
    return Duration { 0 };
}

} // namespace

auto executorOf(CoordinatorState& state, const std::string& machine) -> scheduling::Executor*
{
    const auto* listed = fleet::findMachine(state.m_fleet.m_machines.m_newest, machine);
    return listed == nullptr ? nullptr : findExecutor(state, listed->m_executorId);
}

auto buildFleetView(CoordinatorState& state, Instant now) -> fleet::FleetView
{
    fleet::FleetView view;
    const auto& rules = state.m_scheduler.m_rules;
    for (const auto& name : rules.m_services) {
        auto& pool = view.m_pools[name];
        pool.m_name = name;
        pool.m_isSpare = rules.m_spareServices.contains(name);
    }
    for (const auto& [name, demand] : scheduling::measureDemand(state.m_scheduler, now)) {
        auto& pool = view.m_pools[name];
        pool.m_name = name;
        pool.m_usedMilliCores = demand.m_runningMilliCores;
        pool.m_waitingMilliCores = demand.m_waitingMilliCores;
        pool.m_arrivingMilliCores = demand.m_arrivingMilliCores;
        pool.m_arrivingGrowth = demand.m_arrivingGrowth;
        pool.m_blockedMilliCores = demand.m_blockedMilliCores;
        pool.m_memory.m_usedMb = demand.m_runningMb;
        pool.m_memory.m_waitingMb = demand.m_waitingMb;
        pool.m_memory.m_arrivingMb = demand.m_arrivingMb;
        pool.m_memory.m_arrivingGrowthMb = demand.m_arrivingGrowthMb;
        pool.m_memory.m_blockedMb = demand.m_blockedMb;
        pool.m_machinesWanted = demand.m_executorsWanted;
        pool.m_machinesForLongRunning = demand.m_executorsForLongRunning;
        pool.m_waitOfLongRunning = measureWaitOfLongRunning(state.m_fleet, pool, now);
    }
    for (const auto& machine : state.m_fleet.m_machines.m_newest.m_machines) {
        view.m_machines.push_back(viewMachine(state, machine, now));
        const auto& added = view.m_machines.back();
        const auto isServing = machine.m_state == fleet::MachineState::Up && added.m_hasExecutor;
        const auto isAvailable = (isServing || added.m_isSpare) && !added.m_isReserved;
        if (!added.m_isZoneEvacuated && (!added.m_destinationPool.empty() || isAvailable)) {
            auto& pool = view.m_pools[added.m_destinationPool.empty() ? machine.m_pool : added.m_destinationPool];
            pool.m_capacityMilliCores += added.m_machine.m_capacity.m_cpuMilliCores;
            pool.m_memory.m_capacityMb += added.m_machine.m_capacity.m_memoryMb;
        }
    }
    fleet::relateMemory(view);
    return view;
}

} // namespace hemlockvane::detail
