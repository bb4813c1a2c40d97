#include "hemlockvane/fleet/PlanMachineWave.h"

#include "hemlockvane/fleet/FleetTiming.h"
#include "hemlockvane/fleet/FleetView.h"
#include "hemlockvane/fleet/MachineHistory.h"
#include "hemlockvane/fleet/MeasurePools.h"
#include "hemlockvane/fleet/ReadMachines.h"
#include "hemlockvane/fleet/WavePace.h"
#include "hemlockvane/fleet/WaveState.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace hemlockvane::fleet {

namespace {

// Maximum fraction of a pool's machines that may be away (reserved, moving or under upkeep):
constexpr double idleMaxAway = 0.5; // of a pool with low load,
constexpr double busyMaxAway = 0.17; // of a busy pool,
constexpr double lateMaxAway = 0.34; // of a busy pool once the wave would otherwise miss its time limit.
constexpr double plannedTimeFraction = 0.7; // Upkeeps are paced to end within this fraction of the remaining time.
constexpr double busyLoad = 0.55; // Demand divided by capacity from which a pool counts as busy.
// A machine without tasks for this time is maintained without being drained: it is longer than the gap between two
// tasks of a busy machine, and shorter than the time after which the machine would return to the spare pool.
constexpr Duration idleBeforeUpkeep { 300 };

struct PoolCount {
    double m_load = 0; // Demand divided by the capacity of the pool and the spare pools; 0 for spare pools.
    std::size_t m_machines = 0;
    std::size_t m_away = 0; // Reserved, moving or under upkeep.
};

// A pool with low demand keeps few machines of its own, so the capacity of the spare pools counts for each pool.
auto measureLoads(const FleetView& view, std::map<std::string, PoolCount>& counts) -> void
{
    std::int64_t spareCapacity = 0;
    for (const auto& [name, pool] : view.m_pools)
        spareCapacity += pool.m_isSpare ? pool.m_capacityMilliCores : 0;
    for (const auto& [name, pool] : view.m_pools) {
        if (pool.m_isSpare)
            continue;
        const auto capacity = static_cast<double>(std::max<std::int64_t>(pool.m_capacityMilliCores + spareCapacity, 1));
        counts[name].m_load = static_cast<double>(presentDemand(pool)) / capacity;
    }
}

auto countPools(const FleetView& view) -> std::map<std::string, PoolCount>
{
    std::map<std::string, PoolCount> counts;
    for (const auto& machine : view.m_machines) {
        if (machine.m_isZoneEvacuated)
            continue; // No pool counts on it.
        auto& count = counts[machine.m_machine.m_pool];
        ++count.m_machines;
        if (machine.m_machine.m_state != MachineState::Up || machine.m_isReserved || machine.m_hasPendingOrder)
            ++count.m_away;
    }
    measureLoads(view, counts);
    return counts;
}

// Time that a machine takes to become empty: the usual one, or longer if the machines that are being drained now have
// been for longer on average. Tasks may take many times their estimate, and steps may lose few long-running tasks at a
// time.
auto expectedDrainTime(const std::vector<const MachineView*>& pending, const FleetTiming& timing, Instant now)
    -> Duration
{
    Duration sum { 0 };
    Duration::rep draining = 0;
    for (const auto* machine : pending) {
        if (!machine->m_isReserved || machine->m_runs == 0)
            continue;
        sum += now - machine->m_reservedSince;
        ++draining;
    }
    return draining == 0 ? timing.m_drainTime : std::max(timing.m_drainTime, sum / draining);
}

// Number of consecutive upkeeps, each with its drain, that still fit into the wave's time.
auto roundsLeft(const WaveState& wave, Duration drainTime, const FleetTiming& timing, Instant now) -> double
{
    const auto left = wave.m_seenAt + wave.m_order.m_timeLimit - now;
    const auto round = drainTime + timing.m_upkeepTime;
    return std::max(static_cast<double>(left.count()) / static_cast<double>(round.count()), 0.0);
}

auto maxFractionAway(double load, bool isLate) -> double
{
    if (load < busyLoad)
        return idleMaxAway;
    return isLate ? lateMaxAway : busyMaxAway;
}

auto isEmpty(const MachineView& machine) -> bool { return !machine.m_mayHaveUnknownRuns && machine.m_runs == 0; }

auto mayBeOrdered(const MachineView& machine) -> bool
{
    return !machine.m_hasPendingOrder && machine.m_machine.m_state == MachineState::Up;
}

// Whether the pool, if any counts on the machine, can spare one more.
auto mayBeAway(const MachineView& machine, const PoolCount& count, bool isLate) -> bool
{
    if (machine.m_isZoneEvacuated)
        return true;
    const auto mostAway = std::max(1.0, maxFractionAway(count.m_load, isLate) * static_cast<double>(count.m_machines));
    return static_cast<double>(count.m_away) + 1 <= mostAway;
}

auto noteAway(const MachineView& machine, PoolCount& count) -> void
{
    count.m_away += machine.m_isZoneEvacuated ? 0 : 1;
}

// Also of a late wave: what a machine runs ends with its order, and ends that no answer has listed yet are lost.
auto maintainEmpty(const std::vector<const MachineView*>& pending, const WaveState& wave, std::size_t& slots,
    std::vector<FleetAction>& actions) -> void
{
    for (const auto* machine : pending) {
        const auto mayGo = machine->m_isReserved || machine->m_isSpare;
        if (slots == 0 || !mayGo || !isEmpty(*machine) || !mayBeOrdered(*machine))
            continue;
        actions.push_back({ FleetActionKind::Maintain, machine->m_machine.m_id, wave.m_order.m_number, {}, "empty" });
        --slots;
    }
}

// Idle machines of the pools take the slots that are left, since their upkeep needs no drain.
auto maintainIdle(const std::vector<const MachineView*>& pending, const WaveState& wave, bool isLate, Instant now,
    std::map<std::string, PoolCount>& counts, std::size_t& slots, std::vector<FleetAction>& actions) -> void
{
    for (const auto* machine : pending) {
        auto& count = counts[machine->m_machine.m_pool];
        const auto isIdle = isEmpty(*machine) && now - machine->m_idleSince >= idleBeforeUpkeep;
        if (slots == 0 || !isIdle || machine->m_isReserved || machine->m_isSpare || !machine->m_hasExecutor
            || !mayBeOrdered(*machine) || !mayBeAway(*machine, count, isLate))
            continue;
        actions.push_back({ FleetActionKind::Maintain, machine->m_machine.m_id, wave.m_order.m_number, {}, "idle" });
        noteAway(*machine, count);
        --slots;
    }
}

auto reserve(const std::vector<const MachineView*>& pending, const WaveState& wave, bool isLate,
    std::map<std::string, PoolCount>& counts, std::size_t mayReserve, std::vector<FleetAction>& actions) -> void
{
    for (const auto* machine : pending) {
        if (mayReserve == 0)
            return;
        auto& count = counts[machine->m_machine.m_pool];
        if (machine->m_isReserved || machine->m_isSpare || !mayBeOrdered(*machine)
            || !mayBeAway(*machine, count, isLate))
            continue;
        actions.push_back({ FleetActionKind::Reserve, machine->m_machine.m_id, wave.m_order.m_number, {}, "wave" });
        noteAway(*machine, count);
        --mayReserve;
    }
}

} // namespace

auto planMachineWave(const FleetView& view, const WaveState& wave, const FleetTiming& timing, Instant now,
    std::vector<FleetAction>& actions) -> WavePace
{
    std::vector<const MachineView*> pending;
    WavePace pace;
    for (const auto& machine : view.m_machines) {
        if (!isUpkeepPending(wave, machine.m_machine.m_id))
            continue;
        pending.push_back(&machine);
        if (machine.m_isReserved)
            ++pace.m_reserved;
    }
    pace.m_due = pending.size();
    pace.m_down = wave.m_downSince.size();
    if (pending.empty())
        return pace;
    auto slots = wave.m_order.m_maxConcurrent > pace.m_down ? wave.m_order.m_maxConcurrent - pace.m_down : 0;
    pace.m_drainTime = expectedDrainTime(pending, timing, now);
    const auto rounds = std::floor(roundsLeft(wave, pace.m_drainTime, timing, now));
    pace.m_isLate = rounds * wave.m_order.m_maxConcurrent < static_cast<double>(pending.size()) * 2;
    // Reserved machines are not down yet, but already count against the maximum of machines that may be down. No more
    // are reserved at a time than the time limit requires; the others keep serving or move to pools that need them.
    const auto needed = std::ceil(static_cast<double>(pending.size()) / std::max(rounds * plannedTimeFraction, 1.0));
    pace.m_needed = std::min<std::size_t>(wave.m_order.m_maxConcurrent, static_cast<std::size_t>(needed));
    maintainEmpty(pending, wave, slots, actions);
    // A late wave drains the next machines while the ones before are down.
    const auto taken = pace.m_isLate ? pace.m_reserved : pace.m_down + pace.m_reserved;
    auto counts = countPools(view);
    const auto isBusy = [&](const MachineView& machine) { return counts[machine.m_machine.m_pool].m_load >= busyLoad; };
    // Machines in evacuated zones serve nobody, so their upkeep costs nothing.
    // Machines with long-running tasks come next: draining them takes longest, as few of them may be away at a time.
    std::sort(pending.begin(), pending.end(), [&](const MachineView* left, const MachineView* right) {
        return std::tuple(
                   right->m_isZoneEvacuated, isBusy(*left), right->m_activeLongRunningRuns, left->m_usedCpuMilliCores)
            < std::tuple(
                left->m_isZoneEvacuated, isBusy(*right), left->m_activeLongRunningRuns, right->m_usedCpuMilliCores);
    });
    reserve(pending, wave, pace.m_isLate, counts, pace.m_needed > taken ? pace.m_needed - taken : 0, actions);
    maintainIdle(pending, wave, pace.m_isLate, now, counts, slots, actions);
    pace.m_unusedSlots = slots;
    return pace;
}

auto isUpkeepPending(const WaveState& wave, const std::string& machine) -> bool
{
    return wave.m_order.m_machines.contains(machine) && !wave.m_startedMachines.contains(machine);
}

auto isWaveCompleted(const MachineHistory& history, const WaveState& wave) -> bool
{
    const auto& machines = wave.m_order.m_machines;
    return std::all_of(machines.begin(), machines.end(), [&](const std::string& machine) {
        return wave.m_startedMachines.contains(machine) || isGone(history, machine, wave.m_seenAt);
    });
}

} // namespace hemlockvane::fleet
