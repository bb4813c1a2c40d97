#include "hemlockvane/fleet/PlanMachineWave.h"

#include "hemlockvane/fleet/FleetTiming.h"
#include "hemlockvane/fleet/FleetView.h"
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
        counts[name].m_load = static_cast<double>(pool.m_usedMilliCores + pool.m_waitingMilliCores) / capacity;
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

// Number of consecutive upkeeps, each with its drain, that still fit into the wave's time.
auto roundsLeft(const WaveState& wave, const FleetTiming& timing, Instant now) -> double
{
    const auto left = wave.m_seenAt + wave.m_order.m_timeLimit - now;
    const auto round = timing.m_drainTime + timing.m_upkeepTime;
    return std::max(static_cast<double>(left.count()) / static_cast<double>(round.count()), 0.0);
}

auto maxFractionAway(double load, bool isLate) -> double
{
    if (load < busyLoad)
        return idleMaxAway;
    return isLate ? lateMaxAway : busyMaxAway;
}

// Also of a late wave: what a machine runs ends with its order, and ends that no answer has listed yet are lost.
auto maintainEmpty(const std::vector<const MachineView*>& pending, const WaveState& wave, std::size_t& slots,
    std::vector<FleetAction>& actions) -> void
{
    for (const auto* machine : pending) {
        const auto isEmpty = !machine->m_mayHaveUnknownRuns && machine->m_runs == 0;
        const auto mayGo = machine->m_isReserved || machine->m_isSpare;
        if (slots == 0 || !mayGo || !isEmpty || machine->m_hasPendingOrder
            || machine->m_machine.m_state != MachineState::Up)
            continue;
        actions.push_back({ FleetActionKind::Maintain, machine->m_machine.m_id, wave.m_order.m_number, {}, "empty" });
        --slots;
    }
}

} // namespace

auto planMachineWave(const FleetView& view, const WaveState& wave, const FleetTiming& timing, Instant now,
    std::vector<FleetAction>& actions) -> void
{
    std::vector<const MachineView*> pending;
    std::size_t reserved = 0;
    for (const auto& machine : view.m_machines) {
        if (!isUpkeepPending(wave, machine.m_machine.m_id))
            continue;
        pending.push_back(&machine);
        if (machine.m_isReserved)
            ++reserved;
    }
    if (pending.empty())
        return;
    const std::size_t down = wave.m_downSince.size();
    auto slots = wave.m_order.m_maxConcurrent > down ? wave.m_order.m_maxConcurrent - down : 0;
    const auto rounds = std::floor(roundsLeft(wave, timing, now));
    const auto isLate = rounds * wave.m_order.m_maxConcurrent < static_cast<double>(pending.size()) * 2;
    // Reserved machines are not down yet, but already count against the maximum of machines that may be down. No more
    // are reserved at a time than the time limit requires; the others keep serving or move to pools that need them.
    const auto pace = std::ceil(static_cast<double>(pending.size()) / std::max(rounds * plannedTimeFraction, 1.0));
    const auto maxConcurrent = std::min<std::size_t>(wave.m_order.m_maxConcurrent, static_cast<std::size_t>(pace));
    maintainEmpty(pending, wave, slots, actions);
    // A late wave drains the next machines while the ones before are down.
    const auto taken = isLate ? reserved : down + reserved;
    auto mayReserve = maxConcurrent > taken ? maxConcurrent - taken : 0;
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
    for (const auto* machine : pending) {
        if (mayReserve == 0)
            return;
        auto& count = counts[machine->m_machine.m_pool];
        const auto fractionAway = maxFractionAway(count.m_load, isLate);
        const auto maxAwayOfPool = std::max(1.0, fractionAway * static_cast<double>(count.m_machines));
        if (machine->m_isReserved || machine->m_isSpare || machine->m_hasPendingOrder
            || machine->m_machine.m_state != MachineState::Up
            || (!machine->m_isZoneEvacuated && static_cast<double>(count.m_away) + 1 > maxAwayOfPool))
            continue;
        actions.push_back({ FleetActionKind::Reserve, machine->m_machine.m_id, wave.m_order.m_number, {}, "wave" });
        count.m_away += machine->m_isZoneEvacuated ? 0 : 1;
        --mayReserve;
    }
}

auto isUpkeepPending(const WaveState& wave, const std::string& machine) -> bool
{
    return wave.m_order.m_machines.contains(machine) && !wave.m_startedMachines.contains(machine);
}

auto isWaveCompleted(const FleetView& view, const WaveState& wave) -> bool
{
    return std::none_of(view.m_machines.begin(), view.m_machines.end(),
        [&](const MachineView& machine) { return isUpkeepPending(wave, machine.m_machine.m_id); });
}

} // namespace hemlockvane::fleet
