#include "hemlockvane/fleet/PlanPoolMoves.h"

#include "hemlockvane/fleet/FleetTiming.h"
#include "hemlockvane/fleet/FleetView.h"
#include "hemlockvane/scheduling/Labels.h"

#include <algorithm>
#include <tuple>

namespace hemlockvane::fleet {

namespace {

constexpr double roomPerDemand = 1.1; // Room wanted for each core that is asked for; packing leaves gaps.
constexpr double giverLoad = 0.8; // Demand over room up to which a pool gives machines away.
// Of the tasks that wait for other steps, one in so many needs new room: most take that of their predecessors.
constexpr std::int64_t followingPart = 4;
constexpr std::int64_t leastMachines = 2; // A pool keeps these: one of them may fail.

auto runningAndFollowing(const PoolView& pool) -> std::int64_t
{
    return pool.m_usedMillis + pool.m_blockedMilliCores / followingPart;
}

// Room that a pool lacks, in thousandths of a core; negative: it has that much to give.
auto lackOf(const PoolView& pool) -> double
{
    const auto demand = std::max(runningAndFollowing(pool) + pool.m_waitingMilliCores, pool.m_arrivingMilliCores);
    return static_cast<double>(demand) * roomPerDemand - static_cast<double>(pool.m_capacityMillis);
}

auto isFree(const MachineView& machine) -> bool
{
    return machine.m_machine.m_state == MachineState::Up && machine.m_runs == 0 && !machine.m_isReserved
        && !machine.m_hasPendingOrder && (machine.m_isSpare || machine.m_hasExecutor);
}

class MovePlan {
public:
    MovePlan(const FleetView& view, std::vector<FleetAction>& actions)
        : m_view(view)
        , m_actions(actions)
        , m_pools(view.m_pools)
    {
        for (const auto& machine : view.m_machines) {
            if (isFree(machine))
                m_free.push_back(&machine);
            if (machine.m_machine.m_state == MachineState::Up && machine.m_destinationPool.empty())
                ++m_machines[machine.m_machine.m_pool];
        }
        // Spare ones first, then those of the pool that asks for least.
        std::sort(m_free.begin(), m_free.end(), [&](const MachineView* left, const MachineView* right) {
            return std::tuple(!left->m_isSpare, lackOf(m_pools[left->m_machine.m_pool]), left->m_machine.m_id)
                < std::tuple(!right->m_isSpare, lackOf(m_pools[right->m_machine.m_pool]), right->m_machine.m_id);
        });
    }

    auto fill(const std::string& name) -> void
    {
        auto& pool = m_pools[name];
        for (const auto* machine : m_free) {
            const auto capacity = machine->m_machine.m_capacity.m_cpuMilliCores;
            if (lackOf(pool) < static_cast<double>(capacity) / 2)
                return;
            if (m_taken.contains(machine->m_machine.m_id) || !mayGive(*machine, name))
                continue;
            move(*machine, name, "demand");
            pool.m_capacityMillis += capacity;
        }
    }

    // Tasks wait although the pool's processors would do: no machine has the label, or each holds as many of the step
    // as it may. One machine more ends that.
    auto unblock(const std::string& name) -> void
    {
        for (const auto& label : m_pools[name].m_waitingLabels) {
            if (isComing(name, label))
                continue;
            const auto found = std::find_if(m_free.begin(), m_free.end(), [&](const MachineView* machine) {
                return !m_taken.contains(machine->m_machine.m_id)
                    && scheduling::hasLabel(machine->m_machine.m_labels, label) && mayGive(*machine, name);
            });
            if (found != m_free.end())
                move(**found, name, "no machine for a waiting task");
        }
    }

    auto park(const FleetTiming& timing, Instant now, const std::string& spare) -> void
    {
        for (const auto* machine : m_free) {
            if (machine->m_isSpare || m_taken.contains(machine->m_machine.m_id)
                || now - machine->m_idleSince < timing.m_idleTimeout || !mayGive(*machine, spare))
                continue;
            move(*machine, spare, "idle");
        }
    }

private:
    auto isComing(const std::string& pool, const std::string& label) const -> bool
    {
        return std::any_of(m_view.m_machines.begin(), m_view.m_machines.end(), [&](const MachineView& machine) {
            const auto taken = m_taken.find(machine.m_machine.m_id);
            const auto isTaken = taken != m_taken.end() && taken->second == pool;
            const auto isIdleThere = isFree(machine) && !machine.m_isSpare && machine.m_machine.m_pool == pool;
            return (isTaken || machine.m_destinationPool == pool || isIdleThere)
                && scheduling::hasLabel(machine.m_machine.m_labels, label);
        });
    }

    auto mayGive(const MachineView& machine, const std::string& to) -> bool
    {
        const auto& from = machine.m_machine.m_pool;
        if (from == to)
            return false;
        if (machine.m_isSpare)
            return true;
        const auto& pool = m_pools[from];
        const auto after = pool.m_capacityMillis - machine.m_machine.m_capacity.m_cpuMilliCores;
        return pool.m_waitingMilliCores == 0 && pool.m_arrivingMilliCores <= after && m_machines[from] > leastMachines
            && static_cast<double>(runningAndFollowing(pool)) <= giverLoad * static_cast<double>(after);
    }

    auto move(const MachineView& machine, const std::string& to, const char* reason) -> void
    {
        const auto& from = machine.m_machine.m_pool;
        m_pools[from].m_capacityMillis -= machine.m_isSpare ? 0 : machine.m_machine.m_capacity.m_cpuMilliCores;
        --m_machines[from];
        m_taken[machine.m_machine.m_id] = to;
        m_actions.push_back({ FleetActionKind::Move, machine.m_machine.m_id, 0, to, reason });
    }

    const FleetView& m_view;
    std::vector<FleetAction>& m_actions;
    std::map<std::string, PoolView> m_pools;
    std::map<std::string, std::int64_t> m_machines;
    std::map<std::string, std::string> m_taken; // Machine to the pool that it goes to.
    std::vector<const MachineView*> m_free;
};

} // namespace

auto planPoolMoves(const FleetView& view, const FleetTiming& timing, Instant now, std::vector<FleetAction>& actions)
    -> void
{
    MovePlan plan(view, actions);
    std::vector<const PoolView*> wanting;
    std::string spare;
    for (const auto& [name, pool] : view.m_pools) {
        if (pool.m_isSpare)
            spare = name;
        else if (lackOf(pool) > 0)
            wanting.push_back(&pool);
    }
    std::sort(wanting.begin(), wanting.end(),
        [](const PoolView* left, const PoolView* right) { return lackOf(*left) > lackOf(*right); });
    for (const auto* pool : wanting)
        plan.fill(pool->m_name);
    for (const auto& [name, pool] : view.m_pools) {
        if (!pool.m_isSpare)
            plan.unblock(name);
    }
    if (!spare.empty())
        plan.park(timing, now, spare);
}

} // namespace hemlockvane::fleet
