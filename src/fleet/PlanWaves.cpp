#include "hemlockvane/fleet/PlanWaves.h"

#include "hemlockvane/fleet/FleetTiming.h"
#include "hemlockvane/fleet/FleetView.h"
#include "hemlockvane/fleet/WaveState.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace hemlockvane::fleet {

namespace {

constexpr double idleShare = 0.5; // Of a pool's machines that may be away while it asks for little.
constexpr double busyShare = 0.17; // While it asks for about what it has.
constexpr double lateShare = 0.34; // Once the wave would miss its limit otherwise.
constexpr double paceReserve = 0.7; // Part of the wave's time that is planned with.
constexpr double busyLoad = 0.55; // Demand over room from which a pool counts as busy.

struct PoolCount {
    std::size_t m_machines = 0;
    std::size_t m_away = 0; // Reserved, moving or under upkeep.
};

auto countPools(const FleetView& view) -> std::map<std::string, PoolCount>
{
    std::map<std::string, PoolCount> counts;
    for (const auto& machine : view.m_machines) {
        auto& count = counts[machine.m_machine.m_pool];
        ++count.m_machines;
        if (machine.m_machine.m_state != MachineState::Up || machine.m_isReserved || machine.m_isOrdered)
            ++count.m_away;
    }
    return counts;
}

auto spareRoom(const FleetView& view) -> std::int64_t
{
    std::int64_t room = 0;
    for (const auto& [name, pool] : view.m_pools)
        room += pool.m_isSpare ? pool.m_capacityMillis : 0;
    return room;
}

// Demand over the room that the pool has or can call on: its own machines are kept few while it asks for little.
auto loadOf(const FleetView& view, const std::string& name) -> double
{
    const auto pool = view.m_pools.find(name);
    if (pool == view.m_pools.end() || pool->second.m_isSpare)
        return 0;
    const auto room = static_cast<double>(std::max<std::int64_t>(pool->second.m_capacityMillis + spareRoom(view), 1));
    return static_cast<double>(pool->second.m_usedMillis + pool->second.m_waitingMillis) / room;
}

auto isBusy(const FleetView& view, const MachineView& machine) -> bool
{
    return loadOf(view, machine.m_machine.m_pool) >= busyLoad;
}

auto isPending(const WaveState& wave, const MachineView& machine) -> bool
{
    const auto& listed = wave.m_order.m_machines;
    return std::find(listed.begin(), listed.end(), machine.m_machine.m_id) != listed.end()
        && !wave.m_begun.contains(machine.m_machine.m_id);
}

// Upkeeps that would still fit one after the other into the wave's time.
auto roundsLeft(const WaveState& wave, const FleetTiming& timing, Instant now) -> double
{
    const auto left = wave.m_seenAt + wave.m_order.m_timeLimit - now;
    const auto round = timing.m_emptyingTime + timing.m_upkeepTime;
    return std::max(static_cast<double>(left.count()) / static_cast<double>(round.count()), 0.0);
}

auto shareAway(double load, bool isLate) -> double
{
    if (load < busyLoad)
        return idleShare;
    return isLate ? lateShare : busyShare;
}

auto maintainEmpty(const std::vector<const MachineView*>& pending, const WaveState& wave, std::size_t& slots,
    bool isLate, std::vector<FleetAction>& actions) -> void
{
    for (const auto* machine : pending) {
        const auto isEmpty = machine->m_runs == 0 || (isLate && machine->m_lastingRuns == 0);
        const auto mayGo = machine->m_isReserved || machine->m_isSpare;
        if (slots == 0 || !mayGo || !isEmpty || machine->m_isOrdered || machine->m_machine.m_state != MachineState::Up)
            continue;
        actions.push_back({ FleetActionKind::Maintain, machine->m_machine.m_id, wave.m_order.m_number, {}, "empty" });
        --slots;
    }
}

} // namespace

auto planWave(const FleetView& view, const WaveState& wave, const FleetTiming& timing, Instant now,
    std::vector<FleetAction>& actions) -> void
{
    std::vector<const MachineView*> pending;
    std::size_t reserved = 0;
    for (const auto& machine : view.m_machines) {
        if (!isPending(wave, machine))
            continue;
        pending.push_back(&machine);
        if (machine.m_isReserved)
            ++reserved;
    }
    if (pending.empty())
        return;
    const std::size_t down = wave.m_downSince.size();
    auto slots = wave.m_order.m_mostAtOnce > down ? wave.m_order.m_mostAtOnce - down : 0;
    const auto rounds = std::floor(roundsLeft(wave, timing, now));
    const auto isLate = rounds * wave.m_order.m_mostAtOnce < static_cast<double>(pending.size()) * 2;
    // Machines that empty are not down yet, but take their place among those that may be. No more are taken out at
    // once than the limit asks for: the others serve meanwhile, or go where they are needed.
    const auto pace = std::ceil(static_cast<double>(pending.size()) / std::max(rounds * paceReserve, 1.0));
    const auto most = std::min<std::size_t>(wave.m_order.m_mostAtOnce, static_cast<std::size_t>(pace));
    maintainEmpty(pending, wave, slots, rounds < 1, actions);
    auto mayReserve = most > down + reserved ? most - down - reserved : 0;
    // Emptying a machine of lasting tasks takes longest, as few of them may be away at once: those come first.
    std::sort(pending.begin(), pending.end(), [&](const MachineView* left, const MachineView* right) {
        return std::tuple(isBusy(view, *left), right->m_lastingRuns, left->m_usedCpuMillis)
            < std::tuple(isBusy(view, *right), left->m_lastingRuns, right->m_usedCpuMillis);
    });
    auto counts = countPools(view);
    for (const auto* machine : pending) {
        if (mayReserve == 0)
            return;
        auto& count = counts[machine->m_machine.m_pool];
        const auto share = shareAway(loadOf(view, machine->m_machine.m_pool), isLate);
        const auto mostOfPool = std::max(1.0, share * static_cast<double>(count.m_machines));
        if (machine->m_isReserved || machine->m_isSpare || machine->m_isOrdered
            || machine->m_machine.m_state != MachineState::Up || static_cast<double>(count.m_away) + 1 > mostOfPool)
            continue;
        actions.push_back({ FleetActionKind::Reserve, machine->m_machine.m_id, wave.m_order.m_number, {}, "wave" });
        ++count.m_away;
        --mayReserve;
    }
}

auto isWaveCompleted(const FleetView& view, const WaveState& wave) -> bool
{
    return std::none_of(view.m_machines.begin(), view.m_machines.end(),
        [&](const MachineView& machine) { return isPending(wave, machine); });
}

} // namespace hemlockvane::fleet
