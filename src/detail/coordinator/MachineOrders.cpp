#include "hemlockvane/detail/coordinator/MachineOrders.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/FleetViews.h"
#include "hemlockvane/detail/coordinator/WaveRecords.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/logging/OutcomeNames.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/detail/ports/MachinePort.h"
#include "hemlockvane/fleet/ReadMachines.h"
#include "hemlockvane/scheduling.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <functional>
#include <set>
#include <utility>

namespace hemlockvane::detail {

namespace asio = boost::asio;
using fleet::FleetAction;
using fleet::FleetActionKind;

namespace {

// Shorter than the renewal time-out after which another instance takes over.
constexpr Duration renewalFreshFor { 900 };
constexpr Duration orderSlack { 500 }; // Allowance for an earlier owner's orders that are still in transit.
constexpr Duration orderVisibilityDelay { 300 }; // A list call sent this long after an order shows the outcome.

auto poolOf(const FleetControlState& fleetState, const std::string& machine) -> std::string
{
    const auto* listed = fleet::findMachine(fleetState.m_machines.m_newest, machine);
    return listed == nullptr ? std::string() : listed->m_pool;
}

auto encodeOrder(std::uint64_t renewal, std::uint64_t wave) -> std::string
{
    wire::MachineOrderRecord record;
    record.set_renewal(renewal);
    record.set_wave(wave);
    return record.SerializeAsString();
}

// Whether an order for the machine may be carried out after the list was asked for.
auto isOrderUnsettled(const FleetControlState& fleetState, const std::string& machine, const fleet::MachineList& list)
    -> bool
{
    const auto ordered = fleetState.m_outstandingOrders.find(machine);
    const auto isOutstanding = ordered != fleetState.m_outstandingOrders.end()
        && (ordered->second.m_isInFlight || !fleet::isNewerThan(list, ordered->second.m_at + orderVisibilityDelay));
    return isOutstanding || mayEarlierOrderArrive(fleetState, machine, list.m_askedAt);
}

auto setLeaving(CoordinatorState& state, const std::string& machine, bool isLeaving) -> void
{
    if (auto* executor = executorOf(state, machine))
        executor->m_isLeaving = isLeaving;
}

// Whether the machine's maintenance is done or can never be done, so that it needs no further order.
auto isMaintenanceSettled(MachineOutcome outcome) -> bool
{
    return outcome == MachineOutcome::Done || outcome == MachineOutcome::NotInWave
        || outcome == MachineOutcome::Impossible;
}

auto applyMaintenanceOutcome(CoordinatorState& state, const FleetAction& action, MachineOutcome outcome) -> void
{
    auto& wave = state.m_fleet.m_waves.at(action.m_wave);
    if (isMaintenanceSettled(outcome)) {
        wave.m_startedMachines.insert(action.m_machine);
        storeWave(state, wave);
        setReserved(state, action.m_machine, false);
    } else if (outcome != MachineOutcome::Unknown) {
        wave.m_downSince.erase(action.m_machine);
    }
}

auto applyOutcome(CoordinatorState& state, const FleetAction& action, MachineOutcome outcome) -> void
{
    const auto ordered = state.m_fleet.m_outstandingOrders.find(action.m_machine);
    if (ordered != state.m_fleet.m_outstandingOrders.end()) {
        ordered->second.m_isInFlight = false;
        ordered->second.m_at = monotonicNow();
    }
    // The list of machines shows only later that the executor has ended.
    if (outcome == MachineOutcome::Done)
        setLeaving(state, action.m_machine, true);
    // Unknown: the order may have been accepted; the list of machines will show it.
    if (outcome != MachineOutcome::Done && outcome != MachineOutcome::Unknown)
        state.m_fleet.m_outstandingOrders.erase(action.m_machine);
    if (action.m_kind == FleetActionKind::Maintain)
        applyMaintenanceOutcome(state, action, outcome);
    else if (outcome != MachineOutcome::Unknown)
        setReserved(state, action.m_machine, false);
}

auto sendOrder(std::shared_ptr<CoordinatorState> state, FleetAction action) -> asio::awaitable<void>
{
    const auto sentAt = monotonicNow();
    auto outcome = MachineOutcome::Unknown;
    const auto ordered = state->m_fleet.m_outstandingOrders.find(action.m_machine);
    const auto sendBy = ordered == state->m_fleet.m_outstandingOrders.end() ? sentAt : ordered->second.m_sendBy;
    std::function<bool()> mayBeSent
        = [state, sendBy] { return !state->m_isStopped && monotonicNow() < sendBy && mayOrderMachines(*state); };
    if (action.m_kind == FleetActionKind::Maintain)
        outcome = co_await state->m_ports.m_machines->maintain(
            action.m_machine, action.m_wave, state->m_epoch, std::move(mayBeSent));
    else
        outcome = co_await state->m_ports.m_machines->move(
            action.m_machine, action.m_pool, state->m_epoch, std::move(mayBeSent));
    if (state->m_isStopped)
        co_return;
    logOf("fleet").info("event=order machine={} wave={} pool={} reason=\"{}\" outcome={} took_ms={}", action.m_machine,
        action.m_wave, action.m_pool, action.m_reason, nameOf(outcome), (monotonicNow() - sentAt).count());
    state->m_ports.m_metrics->count("machine_orders_total{outcome=\"" + std::string(nameOf(outcome)) + "\"}");
    applyOutcome(*state, action, outcome);
}

} // namespace

auto setReserved(CoordinatorState& state, const std::string& machine, bool isReserved) -> void
{
    if (isReserved) {
        state.m_fleet.m_reserved.insert(machine);
        state.m_fleet.m_reservedSince.try_emplace(machine, monotonicNow());
    } else {
        state.m_fleet.m_reserved.erase(machine);
        state.m_fleet.m_reservedSince.erase(machine);
    }
    if (auto* executor = executorOf(state, machine))
        executor->m_isReserved = isReserved;
}

auto storeWave(CoordinatorState& state, const fleet::WaveState& wave) -> void
{
    state.m_pendingRecords[wavePrefix + std::to_string(wave.m_order.m_number)] = encodeWave(wave);
    state.m_journalSignal.notify();
}

auto mayEarlierOrderArrive(const FleetControlState& fleetState, const std::string& machine, Instant at) -> bool
{
    const auto until = fleetState.m_earlierOrderPossibleUntil.find(machine);
    return until != fleetState.m_earlierOrderPossibleUntil.end() && at < until->second;
}

auto mayOrderMachines(const CoordinatorState& state) -> bool
{
    return monotonicNow() - state.m_ports.m_renewedAt() < renewalFreshFor;
}

auto placeMachineOrder(CoordinatorState& state, FleetAction action) -> void
{
    auto& fleetState = state.m_fleet;
    const auto now = monotonicNow();
    const auto isMove = action.m_kind == FleetActionKind::Move;
    setReserved(state, action.m_machine, true);
    auto& order = fleetState.m_outstandingOrders[action.m_machine];
    order.m_at = now;
    order.m_pool = isMove ? action.m_pool : poolOf(fleetState, action.m_machine);
    order.m_isMove = isMove;
    order.m_sendBy = state.m_ports.m_renewedAt() + renewalFreshFor;
    order.m_isInFlight = true;
    if (!isMove)
        fleetState.m_waves.at(action.m_wave).m_downSince[action.m_machine] = now;
    state.m_pendingRecords[machineOrderPrefix + action.m_machine]
        = encodeOrder(state.m_ports.m_newestRenewal(), action.m_wave);
    state.m_pendingMachineOrders.push_back(std::move(action));
    state.m_journalSignal.notify();
}

auto settleOrders(CoordinatorState& state, const fleet::MachineList& list) -> void
{
    auto& fleetState = state.m_fleet;
    for (const auto& machine : list.m_machines) {
        const auto ordered = fleetState.m_outstandingOrders.find(machine.m_id);
        if (machine.m_state != fleet::MachineState::Up || isOrderUnsettled(fleetState, machine.m_id, list))
            continue;
        for (auto& [number, wave] : fleetState.m_waves)
            wave.m_downSince.erase(machine.m_id);
        if (ordered == fleetState.m_outstandingOrders.end())
            continue;
        // A move with an unknown outcome: carried out or not, the machine accepts tasks in its present pool.
        if (ordered->second.m_isMove)
            setReserved(state, machine.m_id, false);
        // The order had been carried out before, and the executor was not ended by it.
        setLeaving(state, machine.m_id, false);
        fleetState.m_outstandingOrders.erase(ordered);
    }
}

auto settleGoneMachines(CoordinatorState& state) -> void
{
    auto& fleetState = state.m_fleet;
    const auto& history = fleetState.m_machines;
    std::set<std::string> ordered;
    for (const auto& [machine, order] : fleetState.m_outstandingOrders)
        ordered.insert(machine);
    for (const auto& [number, wave] : fleetState.m_waves) {
        for (const auto& [machine, since] : wave.m_downSince)
            ordered.insert(machine);
    }
    for (const auto& machine : ordered) {
        if (isOrderUnsettled(fleetState, machine, history.m_previous) || !fleet::isGone(history, machine, {}))
            continue;
        logOf("fleet").info("event=machine_gone machine={}", machine);
        for (auto& [number, wave] : fleetState.m_waves)
            wave.m_downSince.erase(machine);
        setReserved(state, machine, false);
        fleetState.m_outstandingOrders.erase(machine);
    }
}

auto sendMachineOrders(const std::shared_ptr<CoordinatorState>& state, std::vector<FleetAction> orders) -> void
{
    for (auto& order : orders) {
        if (mayOrderMachines(*state)) {
            asio::co_spawn(state->m_context, sendOrder(state, std::move(order)), asio::detached);
            continue;
        }
        logOf("fleet").warn("event=order_given_up machine={} wave={} pool={} reason=\"ownership not renewed\"",
            order.m_machine, order.m_wave, order.m_pool);
        applyOutcome(*state, order, MachineOutcome::Refused);
    }
}

auto restoreMachineOrder(CoordinatorState& state, const std::string& machine, std::string_view bytes) -> bool
{
    wire::MachineOrderRecord record;
    if (!record.ParseFromString(std::string(bytes)))
        return false;
    // An order is sent only while the renewal recorded with it is recent.
    const auto sentBy = state.m_ports.m_renewalWrittenBy(record.renewal()) + renewalFreshFor;
    const auto until = sentBy + state.m_ports.m_orderSpacing + orderSlack;
    state.m_fleet.m_earlierOrderPossibleUntil[machine] = until;
    // It is unknown whether the order was accepted: the machine counts as down while the order may still arrive.
    if (record.wave() != 0 && monotonicNow() < until)
        state.m_fleet.m_waves[record.wave()].m_downSince[machine] = monotonicNow();
    return true;
}

} // namespace hemlockvane::detail
