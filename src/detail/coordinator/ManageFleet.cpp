#include "hemlockvane/detail/coordinator/ManageFleet.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/ExecutorPolling.h"
#include "hemlockvane/detail/coordinator/FleetViews.h"
#include "hemlockvane/detail/coordinator/MachineOrders.h"
#include "hemlockvane/detail/coordinator/RulesVersion.h"
#include "hemlockvane/detail/coordinator/WaveRecords.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/logging/OutcomeNames.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/detail/ports/MachinePort.h"
#include "hemlockvane/detail/ports/RecordStore.h"
#include "hemlockvane/fleet/EndedExecutors.h"
#include "hemlockvane/fleet/FleetAction.h"
#include "hemlockvane/fleet/FleetView.h"
#include "hemlockvane/fleet/LimitOrders.h"
#include "hemlockvane/fleet/PlanMachineWave.h"
#include "hemlockvane/fleet/PlanPoolMoves.h"
#include "hemlockvane/fleet/ReadMachines.h"
#include "hemlockvane/placement/ResourceSize.h"
#include "hemlockvane/scheduling/Evacuate.h"
#include "hemlockvane/scheduling/TrackExecutors.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace hemlockvane::detail {

namespace asio = boost::asio;
using fleet::FleetAction;
using fleet::FleetActionKind;

namespace {

constexpr Duration planInterval { 120 }; // About a tenth of the 1.5 s that a machine move takes.
// Planning takes at most a tenth of the time, but is not put off for longer than this.
constexpr int planningPauseFactor = 9;
constexpr Duration longestPlanInterval { 500 };
constexpr Duration listInterval { 400 }; // Between two list calls while something waits for the next one.
constexpr Duration idleListInterval { 2000 };
constexpr Duration statusTimeout { 700 };
constexpr Duration capacityReportInterval { 1000 }; // Metrics are read every few seconds.

// A wave that is known only from the journal has no machines yet and is skipped until its order is read.
auto hasOrder(const fleet::WaveState& wave) -> bool { return !wave.m_order.m_machines.empty(); }

// Whether the machine of an executor that it had before is moving or under upkeep now: the executor was ended by an
// order, perhaps of an earlier owner.
auto isAway(const std::vector<fleet::Machine>& machines, const std::string& executorId,
    const std::vector<fleet::Machine>& before) -> bool
{
    const auto earlier = std::find_if(before.begin(), before.end(),
        [&](const fleet::Machine& machine) { return machine.m_executorId == executorId; });
    return earlier != before.end() && std::any_of(machines.begin(), machines.end(), [&](const fleet::Machine& machine) {
        return machine.m_id == earlier->m_id
            && (machine.m_state == fleet::MachineState::Moving || machine.m_state == fleet::MachineState::Upkeep);
    });
}

auto markEndedExecutors(CoordinatorState& state, const fleet::MachineList& list) -> void
{
    const auto& before = state.m_fleet.m_machines.m_newest.m_machines;
    for (const auto& id : fleet::endedExecutors(before, list.m_machines)) {
        const auto found = state.m_scheduler.m_executorById.find(id);
        if (found == state.m_scheduler.m_executorById.end())
            continue;
        auto& executor = *state.m_scheduler.m_executors[found->second];
        if (!fleet::isNewerThan(list, executor.m_lifeNoticedAt))
            continue;
        executor.m_isLeaving = executor.m_isLeaving || isAway(list.m_machines, id, before);
        if (!executor.m_runs.empty())
            logOf("fleet").info("event=gone executor={} runs={}", id, executor.m_runs.size());
        scheduling::markTerminated(
            state.m_scheduler, found->second, monotonicNow(), scheduling::DropReason::ListOfMachines);
        state.m_planSignal.notify();
    }
}

// The executors whose entries were removed and of which the list may show that they have ended.
auto executorsInDoubt(const scheduling::Scheduler& scheduler) -> std::vector<scheduling::ExecutorIndex>
{
    std::vector<scheduling::ExecutorIndex> inDoubt;
    for (const auto index : scheduler.m_activeExecutors) {
        if (scheduling::mayBeLost(*scheduler.m_executors[index]))
            inDoubt.push_back(index);
    }
    return inDoubt;
}

// Their tasks start elsewhere at once.
auto removeLostRuns(CoordinatorState& state) -> void
{
    for (const auto index : executorsInDoubt(state.m_scheduler)) {
        const auto& executor = *state.m_scheduler.m_executors[index];
        const auto& entry = executor.m_entry;
        const auto learntAt = std::max(*executor.m_entryRemovedAt, executor.m_lifeNoticedAt);
        if (!fleet::isExecutorGone(state.m_fleet.m_machines, entry.m_id, entry.m_machine, learntAt))
            continue;
        const auto runs = scheduling::removeLostRuns(state.m_scheduler, index, monotonicNow());
        logOf("fleet").info("event=machine_lost executor={} machine={} runs={}", entry.m_id, entry.m_machine, runs);
        state.m_planSignal.notify();
    }
}

// The logs of an incident tell by it what the platform said of a machine, and when.
auto logChangedMachines(const fleet::MachineList& before, const fleet::MachineList& now) -> void
{
    std::map<std::string_view, const fleet::Machine*> known;
    for (const auto& machine : before.m_machines)
        known.emplace(machine.m_id, &machine);
    for (const auto& machine : now.m_machines) {
        const auto found = known.find(machine.m_id);
        const auto* earlier = found == known.end() ? nullptr : found->second;
        if (found != known.end())
            known.erase(found);
        const auto isKnown = earlier != nullptr || before.m_machines.empty();
        if (isKnown && (earlier == nullptr || earlier->m_state == machine.m_state))
            continue;
        logOf("fleet").info("event=machine machine={} pool={} state={} executor={}", machine.m_id, machine.m_pool,
            nameOf(machine.m_state), machine.m_executorId);
    }
    for (const auto& [id, machine] : known)
        logOf("fleet").info(
            "event=machine machine={} pool={} state=unlisted executor={}", id, machine->m_pool, machine->m_executorId);
}

auto readMachines(const std::shared_ptr<CoordinatorState>& state) -> asio::awaitable<void>
{
    const auto askedAt = monotonicNow();
    auto machines = co_await state->m_ports.m_machines->list();
    if (state->m_isStopped || !machines)
        co_return;
    // Before orders are settled, while it is known which executors they ended.
    fleet::MachineList list { std::move(*machines), askedAt };
    markEndedExecutors(*state, list);
    settleOrders(*state, list);
    logChangedMachines(state->m_fleet.m_machines.m_newest, list);
    fleet::recordList(state->m_fleet.m_machines, std::move(list));
    settleGoneMachines(*state);
    removeLostRuns(*state);
}

auto isOrder(const FleetAction& action) -> bool
{
    return action.m_kind == FleetActionKind::Move || action.m_kind == FleetActionKind::Maintain;
}

auto countWaitingOrders(const FleetControlState& fleetState) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(fleetState.m_outstandingOrders.begin(),
        fleetState.m_outstandingOrders.end(), [](const auto& item) { return item.second.m_isInFlight; }));
}

auto carryOut(CoordinatorState& state, FleetAction action) -> void
{
    if (isOrder(action)) {
        state.m_fleet.m_drainedFor.erase(action.m_machine);
        placeMachineOrder(state, std::move(action));
        return;
    }
    const auto isRelease = action.m_kind == FleetActionKind::Release;
    logOf("fleet").info("event={} machine={} wave={} pool={} reason=\"{}\"", isRelease ? "release" : "reserve",
        action.m_machine, action.m_wave, action.m_pool, action.m_reason);
    setReserved(state, action.m_machine, !isRelease);
    if (action.m_kind == FleetActionKind::Drain)
        state.m_fleet.m_drainedFor[action.m_machine] = action.m_pool;
    else
        state.m_fleet.m_drainedFor.erase(action.m_machine);
    state.m_planSignal.notify();
}

auto reportWave(const std::shared_ptr<CoordinatorState>& state, const fleet::WaveState& wave) -> asio::awaitable<void>
{
    const auto reported = std::to_string(wave.m_order.m_number) + (wave.m_isCompleted ? "+" : "");
    if (state->m_fleet.m_reportedWaveStates.contains(reported))
        co_return;
    StoreAppend request;
    request.m_topic = state->m_ports.m_statusTopic;
    request.m_records.push_back(state->m_ports.m_waveStatus(wave.m_order.m_number, wave.m_isCompleted));
    const auto result = co_await state->m_ports.m_store->append(std::move(request), statusTimeout);
    if (result.m_kind != StoreAppendKind::Stored)
        co_return;
    logOf("fleet").info("event=wave wave={} completed={} begun={} of={}", wave.m_order.m_number, wave.m_isCompleted,
        wave.m_startedMachines.size(), wave.m_order.m_machines.size());
    state->m_fleet.m_reportedWaveStates.insert(reported);
}

auto evacuateReserved(CoordinatorState& state) -> void
{
    auto& scheduler = state.m_scheduler;
    std::size_t stopped = 0;
    for (const auto index : scheduler.m_activeExecutors) {
        const auto& executor = *scheduler.m_executors[index];
        if ((executor.m_isReserved || executor.m_entry.m_isDraining) && !executor.m_runs.empty())
            stopped += scheduling::evacuate(scheduler, index);
    }
    if (stopped > 0)
        state.m_planSignal.notify();
}

auto reportGauge(CoordinatorState& state, std::string_view gauge, const fleet::PoolView& pool, std::int64_t milliCores)
    -> void
{
    state.m_ports.m_metrics->gauge(
        std::string(gauge) + "{pool=\"" + pool.m_name + "\"}", static_cast<double>(milliCores) / milliPerCore);
}

// Reports capacity and demand once a second: as gauges, and as a log line for each pool with waiting tasks.
auto reportCapacity(CoordinatorState& state, const fleet::FleetView& view, Instant now) -> void
{
    if (now - state.m_fleet.m_capacityReportedAt < capacityReportInterval)
        return;
    state.m_fleet.m_capacityReportedAt = now;
    for (const auto& [name, pool] : view.m_pools) {
        reportGauge(state, "pool_cores", pool, pool.m_capacityMilliCores);
        reportGauge(state, "pool_cores_used", pool, pool.m_usedMilliCores);
        reportGauge(state, "pool_cores_waiting", pool, pool.m_waitingMilliCores);
        if (pool.m_waitingMilliCores > 0)
            logOf("fleet").info("event=room pool={} cores_m={} used_m={} waiting_m={} arriving_m={} list_age_ms={}",
                name, pool.m_capacityMilliCores, pool.m_usedMilliCores, pool.m_waitingMilliCores,
                pool.m_arrivingMilliCores, (now - state.m_fleet.m_machines.m_newest.m_askedAt).count());
    }
}

// Reports the progress of a wave once a second.
auto reportPace(CoordinatorState& state, std::uint64_t wave, const fleet::WavePace& pace, Instant now) -> void
{
    auto [reported, isNew] = state.m_fleet.m_paceReportedAt.try_emplace(wave, now);
    if (!isNew && now - reported->second < capacityReportInterval)
        return;
    reported->second = now;
    logOf("fleet").info(
        "event=wave_pace wave={} due={} needed={} reserved={} down={} unused_slots={} drain_ms={} late={}", wave,
        pace.m_due, pace.m_needed, pace.m_reserved, pace.m_down, pace.m_unusedSlots, pace.m_drainTime.count(),
        pace.m_isLate);
    state.m_ports.m_metrics->gauge("wave_machines_due", static_cast<double>(pace.m_due));
    state.m_ports.m_metrics->gauge("wave_machines_reserved", static_cast<double>(pace.m_reserved));
    state.m_ports.m_metrics->gauge("wave_unused_slots", static_cast<double>(pace.m_unusedSlots));
}

auto planOnce(const std::shared_ptr<CoordinatorState>& state, Instant now) -> void
{
    auto& fleetState = state->m_fleet;
    const auto view = buildFleetView(*state, now);
    reportCapacity(*state, view, now);
    std::vector<FleetAction> actions;
    for (auto& [number, wave] : fleetState.m_waves) {
        if (wave.m_isCompleted || !hasOrder(wave))
            continue;
        reportPace(*state, number, fleet::planMachineWave(view, wave, fleetState.m_timing, now, actions), now);
        wave.m_isCompleted = fleet::isWaveCompleted(fleetState.m_machines, wave);
        if (wave.m_isCompleted)
            storeWave(*state, wave);
    }
    fleet::planPoolMoves(view, fleetState.m_timing, now, actions);
    std::set<std::string> machinesUsed;
    auto orders = fleet::furtherOrders(countWaitingOrders(fleetState), state->m_ports.m_machineOrdersPerSecond);
    for (auto& action : actions) {
        if (!machinesUsed.insert(action.m_machine).second || (isOrder(action) && orders == 0))
            continue;
        orders -= isOrder(action) ? 1 : 0;
        carryOut(*state, std::move(action));
    }
    evacuateReserved(*state);
}

// Without a configuration all pools look idle and none is a spare pool, so nothing may be planned by their load.
auto areRulesKnown(const CoordinatorState& state) -> bool
{
    return !state.m_scheduler.m_rules.m_services.empty() && !areRulesOutdated(state);
}

// Whether something waits for the next list.
auto hasOpenWork(const CoordinatorState& state) -> bool
{
    for (const auto& [number, wave] : state.m_fleet.m_waves) {
        if (!wave.m_isCompleted)
            return true;
    }
    return !state.m_fleet.m_outstandingOrders.empty() || !executorsInDoubt(state.m_scheduler).empty();
}

} // namespace

auto addWave(CoordinatorState& state, const fleet::WaveState& wave) -> void
{
    auto [place, isNew] = state.m_fleet.m_waves.try_emplace(wave.m_order.m_number, wave);
    // The wave may have been restored from the journal without its order.
    place->second.m_order = wave.m_order;
    place->second.m_seenAt = wave.m_seenAt;
    if (isNew)
        logOf("fleet").info("event=wave_ordered wave={} machines={} limit_ms={} at_once={}", wave.m_order.m_number,
            wave.m_order.m_machines.size(), wave.m_order.m_timeLimit.count(), wave.m_order.m_maxConcurrent);
}

auto manageFleet(std::shared_ptr<CoordinatorState> state) -> asio::awaitable<void>
{
    while (!state->m_isStopped) {
        const auto interval = hasOpenWork(*state) ? listInterval : idleListInterval;
        if (monotonicNow() - state->m_fleet.m_machines.m_newest.m_askedAt >= interval)
            co_await readMachines(state);
        for (auto& [number, wave] : state->m_fleet.m_waves) {
            if (hasOrder(wave))
                co_await reportWave(state, wave);
        }
        const auto now = monotonicNow();
        if (!state->m_isStopped && mayOrderMachines(*state) && areRulesKnown(*state)
            && !state->m_fleet.m_machines.m_newest.m_machines.empty())
            planOnce(state, now);
        co_await sleepFor(std::clamp((monotonicNow() - now) * planningPauseFactor, planInterval, longestPlanInterval));
    }
}

} // namespace hemlockvane::detail
