#include "hemlockvane/fleet/PlanPoolMoves.h"

#include "hemlockvane/fleet/FleetTiming.h"
#include "hemlockvane/fleet/FleetView.h"
#include "hemlockvane/fleet/MeasurePools.h"
#include "hemlockvane/scheduling/Labels.h"

#include <algorithm>
#include <tuple>

namespace hemlockvane::fleet {

namespace {

constexpr std::int64_t millisPerSecond = 1000;
constexpr std::int64_t minMachines = 2; // A pool keeps this many, since one of them may fail.

// Capacity needed to sustain the arrivals when a machine that is ordered now is ready. Growth is short-lived, so at
// most a doubling is expected.
auto arrivingAfterMove(std::int64_t arriving, std::int64_t growthPerSecond, const FleetTiming& timing) -> std::int64_t
{
    const auto growth = growthPerSecond * timing.m_moveTime.count() / millisPerSecond;
    return arriving + std::min(growth, arriving);
}

auto isFree(const MachineView& machine) -> bool
{
    return machine.m_machine.m_state == MachineState::Up && machine.m_runs == 0 && !machine.m_isReserved
        && !machine.m_hasPendingOrder && (machine.m_isSpare || machine.m_hasExecutor);
}

// Whether the machine has been without runs for so long that it returns to the spare pool, if its pool may give it up.
auto isLongIdle(const MachineView& machine, const FleetTiming& timing, Instant now) -> bool
{
    return !machine.m_isSpare && now - machine.m_idleSince >= timing.m_idleTimeout;
}

class MovePlan {
public:
    MovePlan(const FleetView& view, const FleetTiming& timing, Instant now, std::vector<FleetAction>& actions)
        : m_view(view)
        , m_actions(actions)
        , m_pools(view.m_pools)
    {
        for (auto& [name, pool] : m_pools) {
            auto& memory = pool.m_memory;
            pool.m_arrivingMilliCores = arrivingAfterMove(pool.m_arrivingMilliCores, pool.m_arrivingGrowth, timing);
            memory.m_arrivingMb = arrivingAfterMove(memory.m_arrivingMb, memory.m_arrivingGrowthMb, timing);
        }
        for (const auto& machine : view.m_machines) {
            if (isFree(machine) && !machine.m_mayHaveUnknownRuns)
                (machine.m_isZoneEvacuated ? m_freeInEvacuatedZones : m_free).push_back(&machine);
            if (!machine.m_isZoneEvacuated && machine.m_machine.m_state == MachineState::Up
                && machine.m_destinationPool.empty() && machine.m_drainedFor.empty())
                ++m_machines[machine.m_machine.m_pool];
        }
        // First machines that would be returned to the spare pool now, which saves their way back; then spare machines,
        // then those of the pools with the largest surplus. Machines that are due for maintenance come after their
        // like, since a machine in the spare pool is maintained at once and one in use has to be emptied first.
        const auto rank = [&](const MachineView& machine) {
            if (isLongIdle(machine, timing, now))
                return 0;
            return machine.m_isSpare ? 1 : 2;
        };
        std::sort(m_free.begin(), m_free.end(), [&](const MachineView* left, const MachineView* right) {
            return std::tuple(rank(*left), left->m_isMaintenanceDue, shortfallOf(m_pools[left->m_machine.m_pool]),
                       left->m_machine.m_id)
                < std::tuple(rank(*right), right->m_isMaintenanceDue, shortfallOf(m_pools[right->m_machine.m_pool]),
                    right->m_machine.m_id);
        });
    }

    // The pool that lacks the most capacity first.
    auto fillShortPools() -> void
    {
        std::vector<const PoolView*> shortPools;
        for (const auto& [name, pool] : m_pools) {
            if (!pool.m_isSpare && shortfallOf(pool) > 0)
                shortPools.push_back(&pool);
        }
        std::sort(shortPools.begin(), shortPools.end(),
            [](const PoolView* left, const PoolView* right) { return shortfallOf(*left) > shortfallOf(*right); });
        for (const auto* pool : shortPools)
            fill(pool->m_name);
    }

    // Adds the machines that waiting tasks want. Tasks may wait although the pool has enough cores: no machine has the
    // label, or each machine already runs as many tasks of the step as it may.
    auto addWantedMachines(const std::string& name) -> void
    {
        for (const auto& [label, wanted] : m_pools[name].m_machinesWanted) {
            auto available = availableOrComing(name, label);
            for (const auto* machine : m_free) {
                if (available >= wanted)
                    break;
                if (m_moved.contains(machine->m_machine.m_id)
                    || !scheduling::hasLabel(machine->m_machine.m_labels, label) || !mayGiveUp(*machine, name))
                    continue;
                move(*machine, name, "no machine for a waiting task");
                ++available;
            }
        }
    }

    // Machines that were drained are used once they are empty, or given back if they are not wanted any more.
    auto useDrainedMachines() -> void
    {
        for (const auto& machine : m_view.m_machines) {
            const auto& pool = machine.m_drainedFor;
            if (pool.empty() || machine.m_hasPendingOrder || machine.m_machine.m_state != MachineState::Up)
                continue;
            const auto isReady = machine.m_runs == 0 && machine.m_hasExecutor;
            const auto isWanted = !m_pools[pool].m_machinesForLongRunning.empty() && !machine.m_isZoneEvacuated;
            if (isWanted && isReady && machine.m_machine.m_pool != pool)
                move(machine, pool, "drained for a long-running task");
            else if (isReady || !isWanted)
                release(machine);
        }
    }

    // Drains machines for long-running tasks that nothing else makes room for.
    auto drainForLongRunning(const std::string& name, const FleetTiming& timing) -> void
    {
        const auto& pool = m_pools[name];
        if (pool.m_waitOfLongRunning < timing.m_patienceForLongRunning)
            return;
        for (const auto& [label, wanted] : pool.m_machinesForLongRunning) {
            auto coming = availableOrComing(name, label) + drainedFor(name, label);
            for (const auto* machine = cheapestToDrain(name, label); coming < wanted && machine != nullptr;
                 machine = cheapestToDrain(name, label)) {
                drain(*machine, name);
                ++coming;
            }
        }
    }

    auto returnIdleMachines(const FleetTiming& timing, Instant now, const std::string& spare) -> void
    {
        for (const auto* machine : m_free) {
            if (m_moved.contains(machine->m_machine.m_id) || !isLongIdle(*machine, timing, now)
                || !mayGiveUp(*machine, spare))
                continue;
            move(*machine, spare, "idle");
        }
        // Their pools do not count on them.
        for (const auto* machine : m_freeInEvacuatedZones) {
            if (isLongIdle(*machine, timing, now))
                move(*machine, spare, "idle in an evacuated zone");
        }
    }

private:
    auto fill(const std::string& name) -> void
    {
        auto& pool = m_pools[name];
        for (const auto* machine : m_free) {
            const auto capacity = machine->m_machine.m_capacity.m_cpuMilliCores;
            if (shortfallOf(pool) < static_cast<double>(capacity) / 2)
                return;
            if (m_moved.contains(machine->m_machine.m_id) || !mayGiveUp(*machine, name))
                continue;
            move(*machine, name, "demand");
            pool.m_capacityMilliCores += capacity;
            pool.m_memory.m_capacityMb += machine->m_machine.m_capacity.m_memoryMb;
        }
    }

    auto availableOrComing(const std::string& pool, const std::string& label) const -> std::int64_t
    {
        return std::count_if(m_view.m_machines.begin(), m_view.m_machines.end(), [&](const MachineView& machine) {
            const auto moved = m_moved.find(machine.m_machine.m_id);
            const auto isMovedThere = moved != m_moved.end() && moved->second == pool;
            const auto isIdleThere = isFree(machine) && !machine.m_isSpare && machine.m_machine.m_pool == pool;
            return !machine.m_isZoneEvacuated && (isMovedThere || machine.m_destinationPool == pool || isIdleThere)
                && scheduling::hasLabel(machine.m_machine.m_labels, label);
        });
    }

    auto drainedFor(const std::string& pool, const std::string& label) const -> std::int64_t
    {
        return std::count_if(m_view.m_machines.begin(), m_view.m_machines.end(), [&](const MachineView& machine) {
            return machine.m_drainedFor == pool && !machine.m_isZoneEvacuated
                && !m_moved.contains(machine.m_machine.m_id) && scheduling::hasLabel(machine.m_machine.m_labels, label);
        });
    }

    auto mayDrain(const MachineView& machine, const std::string& to) -> bool
    {
        const auto& from = machine.m_machine.m_pool;
        return machine.m_machine.m_state == MachineState::Up && machine.m_hasExecutor && !machine.m_isReserved
            && !machine.m_hasPendingOrder && !machine.m_isSpare && !machine.m_isZoneEvacuated
            && machine.m_activeLongRunningRuns == 0 && !machine.m_mayHaveUnknownRuns
            && !m_moved.contains(machine.m_machine.m_id) && (from == to || m_machines[from] > minMachines);
    }

    // Null if there is none.
    auto cheapestToDrain(const std::string& pool, const std::string& label) -> const MachineView*
    {
        const auto rank = [&](const MachineView& machine) {
            return std::tuple(machine.m_machine.m_pool != pool, machine.m_usedCpuMilliCores, machine.m_machine.m_id);
        };
        const MachineView* best = nullptr;
        for (const auto& machine : m_view.m_machines) {
            if (mayDrain(machine, pool) && scheduling::hasLabel(machine.m_machine.m_labels, label)
                && (best == nullptr || rank(machine) < rank(*best)))
                best = &machine;
        }
        return best;
    }

    auto drain(const MachineView& machine, const std::string& to) -> void
    {
        --m_machines[machine.m_machine.m_pool];
        m_moved[machine.m_machine.m_id] = to;
        m_actions.push_back({ FleetActionKind::Drain, machine.m_machine.m_id, 0, to, "long-running task waits" });
    }

    auto release(const MachineView& machine) -> void
    {
        m_actions.push_back({ FleetActionKind::Release, machine.m_machine.m_id, 0, {}, "drained or not wanted" });
    }

    auto mayGiveUp(const MachineView& machine, const std::string& to) -> bool
    {
        const auto& from = machine.m_machine.m_pool;
        if (from == to)
            return false;
        if (machine.m_isSpare)
            return true;
        const auto& pool = m_pools[from];
        const auto& capacity = machine.m_machine.m_capacity;
        return pool.m_waitingMilliCores == 0 && m_machines[from] > minMachines
            && canGiveUp(pool, capacity.m_cpuMilliCores, capacity.m_memoryMb);
    }

    auto move(const MachineView& machine, const std::string& to, const char* reason) -> void
    {
        const auto& from = machine.m_machine.m_pool;
        if (machine.m_drainedFor.empty() && !machine.m_isZoneEvacuated) {
            const auto& capacity = machine.m_machine.m_capacity;
            m_pools[from].m_capacityMilliCores -= machine.m_isSpare ? 0 : capacity.m_cpuMilliCores;
            m_pools[from].m_memory.m_capacityMb -= machine.m_isSpare ? 0 : capacity.m_memoryMb;
            --m_machines[from];
        }
        m_moved[machine.m_machine.m_id] = to;
        m_actions.push_back({ FleetActionKind::Move, machine.m_machine.m_id, 0, to, reason });
    }

    const FleetView& m_view;
    std::vector<FleetAction>& m_actions;
    std::map<std::string, PoolView> m_pools;
    std::map<std::string, std::int64_t> m_machines;
    std::map<std::string, std::string> m_moved; // Destination pool by machine moved in this plan.
    std::vector<const MachineView*> m_free; // Without those in evacuated zones.
    std::vector<const MachineView*> m_freeInEvacuatedZones;
};

} // namespace

auto planPoolMoves(const FleetView& view, const FleetTiming& timing, Instant now, std::vector<FleetAction>& actions)
    -> void
{
    MovePlan plan(view, timing, now, actions);
    plan.useDrainedMachines();
    plan.fillShortPools();
    std::string spare;
    for (const auto& [name, pool] : view.m_pools) {
        if (pool.m_isSpare)
            spare = name;
    }
    for (const auto& [name, pool] : view.m_pools) {
        if (pool.m_isSpare)
            continue;
        plan.addWantedMachines(name);
        plan.drainForLongRunning(name, timing);
    }
    if (!spare.empty())
        plan.returnIdleMachines(timing, now, spare);
}

} // namespace hemlockvane::fleet
