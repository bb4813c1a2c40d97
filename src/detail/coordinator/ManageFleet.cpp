#include "hemlockvane/detail/coordinator/ManageFleet.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/ExecutorPolling.h"
#include "hemlockvane/detail/coordinator/FleetViews.h"
#include "hemlockvane/detail/coordinator/MachineOrders.h"
#include "hemlockvane/detail/coordinator/WaveRecords.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/detail/ports/MachinePort.h"
#include "hemlockvane/detail/ports/RecordStore.h"
#include "hemlockvane/fleet/EndedExecutors.h"
#include "hemlockvane/fleet/FleetAction.h"
#include "hemlockvane/fleet/FleetView.h"
#include "hemlockvane/fleet/PlanMachineWave.h"
#include "hemlockvane/fleet/PlanPoolMoves.h"
#include "hemlockvane/placement/ResourceSize.h"
#include "hemlockvane/scheduling/Evacuate.h"
#include "hemlockvane/scheduling/TrackExecutors.h"

namespace hemlockvane::detail {

namespace asio = boost::asio;
using fleet::FleetAction;
using fleet::FleetActionKind;

namespace {

constexpr Duration planInterval { 120 }; // A machine's move takes 1.5 s: a tenth of that.
constexpr Duration listInterval { 400 }; // Between two lists while anything changes.
constexpr Duration idleListInterval { 2000 };
constexpr Duration listedAfterOrder { 300 }; // A list asked for this long after an order shows what came of it.
constexpr Duration statusTimeout { 700 };
constexpr Duration roomInterval { 1000 }; // A reader of the metrics asks every few seconds.

// A wave of which only the journal tells has no machines yet: nothing can be said of it.
auto isKnown(const fleet::WaveState& wave) -> bool { return !wave.m_order.m_machines.empty(); }

// Whether an order for the machine may be carried out after the list was asked for.
auto mayStillArrive(const FleetControlState& owned, const std::string& machine, Instant askedAt) -> bool
{
    const auto ordered = owned.m_outstandingOrders.find(machine);
    return (ordered != owned.m_outstandingOrders.end() && askedAt < ordered->second.m_at + listedAfterOrder)
        || mayEarlierOrderArrive(owned, machine, askedAt);
}

// An order is settled once a list that was asked for after it shows the machine up again.
auto settleOrders(CoordinatorState& state, const std::vector<fleet::Machine>& machines, Instant askedAt) -> void
{
    auto& owned = state.m_fleet;
    for (const auto& machine : machines) {
        const auto ordered = owned.m_outstandingOrders.find(machine.m_id);
        if (machine.m_state != fleet::MachineState::Up || mayStillArrive(owned, machine.m_id, askedAt))
            continue;
        for (auto& [number, wave] : owned.m_waves)
            wave.m_downSince.erase(machine.m_id);
        if (ordered == owned.m_outstandingOrders.end())
            continue;
        // A move of which the outcome is not known: done or not, the machine takes tasks where it is.
        if (ordered->second.m_isMove)
            setReserved(state, machine.m_id, false);
        owned.m_outstandingOrders.erase(ordered);
    }
}

auto loseEndedExecutors(CoordinatorState& state, const std::vector<fleet::Machine>& machines) -> void
{
    for (const auto& id : fleet::endedExecutors(state.m_fleet.m_machines, machines)) {
        const auto found = state.m_scheduler.m_executorById.find(id);
        if (found == state.m_scheduler.m_executorById.end())
            continue;
        const auto& executor = *state.m_scheduler.m_executors[found->second];
        if (!executor.m_runs.empty())
            logOf("fleet").info("event=gone executor={} runs={}", id, executor.m_runs.size());
        scheduling::markTerminated(state.m_scheduler, found->second);
        state.m_planSignal.notify();
    }
}

auto readMachines(const std::shared_ptr<CoordinatorState>& state) -> asio::awaitable<void>
{
    const auto askedAt = monotonicNow();
    auto machines = co_await state->m_ports.m_machines->list();
    if (state->m_isStopped || !machines)
        co_return;
    settleOrders(*state, *machines, askedAt);
    loseEndedExecutors(*state, *machines);
    state->m_fleet.m_machines = std::move(*machines);
    state->m_fleet.m_listedAt = askedAt;
}

auto perform(CoordinatorState& state, FleetAction action) -> void
{
    if (action.m_kind != FleetActionKind::Reserve) {
        placeMachineOrder(state, std::move(action));
        return;
    }
    logOf("fleet").info(
        "event=reserve machine={} wave={} reason=\"{}\"", action.m_machine, action.m_wave, action.m_reason);
    setReserved(state, action.m_machine, true);
}

auto tellWave(const std::shared_ptr<CoordinatorState>& state, const fleet::WaveState& wave) -> asio::awaitable<void>
{
    const auto mark = std::to_string(wave.m_order.m_number) + (wave.m_isCompleted ? "+" : "");
    if (state->m_fleet.m_reportedWaveStates.contains(mark))
        co_return;
    StoreAppend order;
    order.m_topic = state->m_ports.m_statusTopic;
    order.m_records.push_back(state->m_ports.m_waveStatus(wave.m_order.m_number, wave.m_isCompleted));
    const auto result = co_await state->m_ports.m_store->append(std::move(order), statusTimeout);
    if (result.m_kind != StoreAppendKind::Stored)
        co_return;
    logOf("fleet").info("event=wave wave={} completed={} begun={} of={}", wave.m_order.m_number, wave.m_isCompleted,
        wave.m_startedMachines.size(), wave.m_order.m_machines.size());
    state->m_fleet.m_reportedWaveStates.insert(mark);
}

auto evacuateReserved(CoordinatorState& state) -> void
{
    auto& scheduler = state.m_scheduler;
    std::size_t stopped = 0;
    for (scheduling::ExecutorIndex index = 0; index < scheduler.m_executors.size(); ++index) {
        const auto& executor = *scheduler.m_executors[index];
        if ((executor.m_isReserved || executor.m_entry.m_isDraining) && !executor.m_runs.empty())
            stopped += scheduling::evacuate(scheduler, index);
    }
    if (stopped > 0)
        state.m_planSignal.notify();
}

auto tellGauge(CoordinatorState& state, std::string_view gauge, const fleet::PoolView& pool, std::int64_t millis)
    -> void
{
    state.m_ports.m_metrics->gauge(
        std::string(gauge) + "{pool=\"" + pool.m_name + "\"}", static_cast<double>(millis) / milliPerCore);
}

// Once a second as gauges, and as a line for each pool in which tasks wait.
auto tellRoom(CoordinatorState& state, const fleet::FleetView& view, Instant now) -> void
{
    if (now - state.m_fleet.m_capacityReportedAt < roomInterval)
        return;
    state.m_fleet.m_capacityReportedAt = now;
    for (const auto& [name, pool] : view.m_pools) {
        tellGauge(state, "pool_cores", pool, pool.m_capacityMillis);
        tellGauge(state, "pool_cores_used", pool, pool.m_usedMillis);
        tellGauge(state, "pool_cores_waiting", pool, pool.m_waitingMilliCores);
        if (pool.m_waitingMilliCores > 0)
            logOf("fleet").info("event=room pool={} cores_m={} used_m={} waiting_m={} arriving_m={} list_age_ms={}",
                name, pool.m_capacityMillis, pool.m_usedMillis, pool.m_waitingMilliCores, pool.m_arrivingMilliCores,
                (now - state.m_fleet.m_listedAt).count());
    }
}

auto planOnce(const std::shared_ptr<CoordinatorState>& state, Instant now) -> void
{
    auto& owned = state->m_fleet;
    const auto view = buildFleetView(*state, now);
    tellRoom(*state, view, now);
    std::vector<FleetAction> actions;
    for (auto& [number, wave] : owned.m_waves) {
        if (wave.m_isCompleted || !isKnown(wave))
            continue;
        fleet::planMachineWave(view, wave, owned.m_timing, now, actions);
        wave.m_isCompleted = fleet::isWaveCompleted(view, wave);
        if (wave.m_isCompleted)
            storeWave(*state, wave);
    }
    fleet::planPoolMoves(view, owned.m_timing, now, actions);
    std::set<std::string> taken;
    for (auto& action : actions) {
        if (taken.insert(action.m_machine).second)
            perform(*state, std::move(action));
    }
    evacuateReserved(*state);
}

auto isChanging(const FleetControlState& owned) -> bool
{
    for (const auto& [number, wave] : owned.m_waves) {
        if (!wave.m_isCompleted)
            return true;
    }
    return !owned.m_outstandingOrders.empty();
}

} // namespace

auto addWave(CoordinatorState& state, const fleet::WaveState& wave) -> void
{
    auto [place, isNew] = state.m_fleet.m_waves.try_emplace(wave.m_order.m_number, wave);
    // Loaded from the journal without its order, or before it.
    place->second.m_order = wave.m_order;
    place->second.m_seenAt = wave.m_seenAt;
    if (isNew)
        logOf("fleet").info("event=wave_ordered wave={} machines={} limit_ms={} at_once={}", wave.m_order.m_number,
            wave.m_order.m_machines.size(), wave.m_order.m_timeLimit.count(), wave.m_order.m_maxConcurrent);
}

auto manageFleet(std::shared_ptr<CoordinatorState> state) -> asio::awaitable<void>
{
    while (!state->m_isStopped) {
        const auto interval = isChanging(state->m_fleet) ? listInterval : idleListInterval;
        if (monotonicNow() - state->m_fleet.m_listedAt >= interval)
            co_await readMachines(state);
        for (auto& [number, wave] : state->m_fleet.m_waves) {
            if (isKnown(wave))
                co_await tellWave(state, wave);
        }
        const auto now = monotonicNow();
        if (!state->m_isStopped && mayOrderMachines(*state) && !state->m_fleet.m_machines.empty())
            planOnce(state, now);
        co_await sleepFor(planInterval);
    }
}

} // namespace hemlockvane::detail
