#include "core/fleetplan/TurnSimulation.h"

#include "hemlockvane/fleet/FleetAction.h"
#include "hemlockvane/fleet/PlanPoolMoves.h"
#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/scheduling/BlameCrashes.h"
#include "hemlockvane/scheduling/EndedRun.h"
#include "hemlockvane/scheduling/ExecutorReport.h"
#include "hemlockvane/scheduling/MeasureDemand.h"
#include "hemlockvane/scheduling/PlanStarts.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace hemlockvane::fleet {

namespace {

constexpr Duration tick { 10 };
constexpr Duration planInterval { 120 };
constexpr Duration listDelay { 200 }; // From the end of a move until the owner has listed and polled the executor.
constexpr double millisPerSecond = 1000;
constexpr std::uint32_t tasksPerStep = 8;
constexpr double meanTaskMs = 640;
constexpr double meanTaskMilliCores = 4500;
constexpr double shareOfTwoSteps = 0.6;

auto wallAt(Instant now) -> WallMillis { return now.time_since_epoch().count(); }

} // namespace

TurnSimulation::TurnSimulation(std::size_t machines, std::uint32_t seed)
    : m_random(seed)
{
    for (const auto* pool : { "counter", "orders" })
        m_scheduler.m_rules.m_queues[pool] = { pool, 0, 3, stretch, latencyTargetMs, false };
    m_scheduler.m_rules.m_services = { "counter", "orders", "spare" };
    m_scheduler.m_rules.m_spareServices = { "spare" };
    m_scheduler.m_rules.m_workspaces["team"] = { 1, {} };
    for (const auto* pool : { "counter", "counter", "orders", "orders" })
        registerExecutor(addMachine(pool));
    while (m_machines.size() < machines)
        addMachine("spare");
}

auto TurnSimulation::play(Duration span, double fromRate, double toRate) -> void
{
    const auto begin = m_now;
    auto expected = 0.0; // Number of arrivals expected since the begin.
    auto next = -std::log(1 - uniform()); // The next job arrives when this number is expected.
    while (m_now < begin + span) {
        const auto share = static_cast<double>((m_now - begin).count()) / static_cast<double>(span.count());
        const auto rate = fromRate + (toRate - fromRate) * share;
        expected += rate * static_cast<double>(tick.count()) / millisPerSecond;
        for (; next <= expected; next -= std::log(1 - uniform()))
            submit();
        step();
    }
}

auto TurnSimulation::join(std::size_t machines) -> void
{
    for (std::size_t number = 0; number < machines; ++number)
        registerExecutor(addMachine("counter"));
}

auto TurnSimulation::shareInTime(Instant from, Instant until) const -> double
{
    std::size_t sent = 0;
    std::size_t inTime = 0;
    for (const auto& check : m_checks) {
        if (check.m_sentAt < from || check.m_sentAt >= until)
            continue;
        ++sent;
        const auto objective
            = static_cast<double>(latencyTargetMs) + stretch * static_cast<double>(check.m_chain.count());
        if (check.m_latency > Duration(0) && static_cast<double>(check.m_latency.count()) <= objective)
            ++inTime;
    }
    return sent == 0 ? 1 : static_cast<double>(inTime) / static_cast<double>(sent);
}

auto TurnSimulation::addMachine(const std::string& pool) -> SimulatedMachine&
{
    SimulatedMachine machine;
    machine.m_machine.m_id = "m" + std::to_string(m_machines.size());
    machine.m_machine.m_pool = pool;
    machine.m_machine.m_state = MachineState::Up;
    machine.m_machine.m_capacity = { machineMilliCores, 64000, 0 };
    machine.m_idleSince = m_now;
    m_machineById[machine.m_machine.m_id] = m_machines.size();
    m_machines.push_back(std::move(machine));
    return m_machines.back();
}

auto TurnSimulation::registerExecutor(SimulatedMachine& machine) -> void
{
    scheduling::ExecutorEntry entry;
    entry.m_id = machine.m_machine.m_id + "-" + std::to_string(m_scheduler.m_executors.size());
    entry.m_startedAtMs = wallAt(m_now);
    entry.m_service = machine.m_machine.m_pool;
    entry.m_capacity = machine.m_machine.m_capacity;
    entry.m_labels = { "a", "rack-" + machine.m_machine.m_id };
    machine.m_executor = scheduling::registerExecutor(m_scheduler, entry, m_now, m_now);
    machine.m_machine.m_executorId = entry.m_id;
    machine.m_hasExecutor = true;
    machine.m_idleSince = m_now;
    machine.m_quietSince = m_now;
    scheduling::ExecutorReport report;
    report.m_pollSentAt = m_now;
    report.m_startedAtMs = entry.m_startedAtMs;
    std::vector<scheduling::Action> actions;
    scheduling::applyReport(m_scheduler, machine.m_executor, report, m_now, wallAt(m_now), actions);
}

auto TurnSimulation::removeExecutor(SimulatedMachine& machine) -> void
{
    if (!machine.m_hasExecutor)
        return;
    scheduling::markTerminated(m_scheduler, machine.m_executor, m_now);
    scheduling::unregisterExecutor(m_scheduler, machine.m_machine.m_executorId);
    machine.m_hasExecutor = false;
    machine.m_machine.m_executorId.clear();
}

auto TurnSimulation::submit() -> void
{
    scheduling::JobSpec spec;
    spec.m_id = m_checks.size() + 1;
    spec.m_queue = m_queue;
    spec.m_workspace = "team";
    spec.m_submittedAt = wallAt(m_now);
    auto& check = m_checks.emplace_back();
    check.m_sentAt = m_now;
    auto& durations = m_durations[spec.m_id];
    const std::size_t steps = uniform() < shareOfTwoSteps ? 2 : 1;
    for (std::size_t index = 0; index < steps; ++index) {
        scheduling::StepSpec step;
        step.m_taskCount = tasksPerStep;
        step.m_perTask = { static_cast<std::int64_t>(meanTaskMilliCores * aroundOne()), 100, 0 };
        step.m_estimateMs = static_cast<std::int64_t>(meanTaskMs);
        if (index > 0)
            step.m_after = { static_cast<std::uint32_t>(index - 1) };
        auto& tasks = durations.emplace_back();
        for (std::uint32_t task = 0; task < tasksPerStep; ++task)
            tasks.emplace_back(static_cast<std::int64_t>(meanTaskMs * aroundOne()));
        check.m_chain += *std::max_element(tasks.begin(), tasks.end());
        spec.m_steps.push_back(std::move(step));
    }
    scheduling::addJob(m_scheduler, std::move(spec), m_now, wallAt(m_now));
}

auto TurnSimulation::endRuns() -> void
{
    while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
        const auto ended = m_ends.extract(m_ends.begin()).mapped();
        if (scheduling::findRun(m_scheduler, ended.m_task, ended.m_run, ended.m_executor) == nullptr)
            continue;
        scheduling::applyRunEnd(m_scheduler, ended.m_executor,
            { 0, ended.m_task, ended.m_run, scheduling::RunOutcome::Done, "" }, m_now, wallAt(m_now));
        const auto id = ended.m_task.m_job;
        const auto* job = scheduling::findJob(m_scheduler, id);
        if (job == nullptr || !scheduling::isFinal(job->m_phase))
            continue;
        auto& check = m_checks[id - 1];
        check.m_latency = m_now - check.m_sentAt;
        m_durations.erase(id);
    }
    std::vector<scheduling::JobId> active(m_scheduler.m_active.begin(), m_scheduler.m_active.end());
    scheduling::retireJobs(m_scheduler);
    for (const auto id : active) {
        if (!m_scheduler.m_active.contains(id))
            scheduling::dropJob(m_scheduler, id);
    }
    m_scheduler.m_dirtyJobs.clear();
}

auto TurnSimulation::finishMoves() -> void
{
    for (auto& machine : m_machines) {
        if (machine.m_machine.m_state != MachineState::Moving || m_now < machine.m_readyAt)
            continue;
        machine.m_machine.m_state = MachineState::Up;
        machine.m_hasOrder = false;
        machine.m_idleSince = m_now;
        if (machine.m_machine.m_pool != "spare")
            registerExecutor(machine);
    }
}

auto TurnSimulation::startTasks() -> void
{
    std::vector<scheduling::Action> actions;
    scheduling::planStarts(m_scheduler, m_now, wallAt(m_now), actions);
    for (const auto& action : actions) {
        if (action.m_kind != scheduling::ActionKind::Start)
            continue;
        scheduling::noteStartSent(m_scheduler, action, m_now);
        scheduling::applyStartAnswer(m_scheduler, action.m_executor, action.m_task, action.m_run,
            scheduling::StartAnswer::Started, false, m_now);
        const auto duration = m_durations.at(action.m_task.m_job)[action.m_task.m_step][action.m_task.m_index];
        m_ends.emplace(m_now + duration, PendingEnd { action.m_task, action.m_run, action.m_executor });
    }
}

auto TurnSimulation::viewMachine(SimulatedMachine& machine) -> MachineView
{
    MachineView viewed;
    viewed.m_machine = machine.m_machine;
    viewed.m_isReserved = machine.m_hasOrder;
    viewed.m_hasPendingOrder = machine.m_hasOrder;
    viewed.m_isSpare = machine.m_machine.m_pool == "spare";
    if (machine.m_machine.m_state == MachineState::Moving)
        viewed.m_destinationPool = machine.m_machine.m_pool;
    if (machine.m_hasExecutor) {
        const auto& executor = *m_scheduler.m_executors[machine.m_executor];
        viewed.m_hasExecutor = true;
        viewed.m_runs = static_cast<std::uint32_t>(executor.m_runs.size());
        viewed.m_usedCpuMilliCores = executor.m_used.m_cpuMilliCores;
    }
    if (viewed.m_runs > 0)
        machine.m_idleSince = m_now;
    viewed.m_idleSince = machine.m_idleSince;
    return viewed;
}

auto TurnSimulation::view() -> FleetView
{
    FleetView made;
    for (const auto& name : m_scheduler.m_rules.m_services) {
        made.m_pools[name].m_name = name;
        made.m_pools[name].m_isSpare = m_scheduler.m_rules.m_spareServices.contains(name);
    }
    for (const auto& [name, demand] : scheduling::measureDemand(m_scheduler, m_now)) {
        auto& pool = made.m_pools[name];
        pool.m_usedMilliCores = demand.m_runningMilliCores;
        pool.m_waitingMilliCores = demand.m_waitingMilliCores;
        pool.m_arrivingMilliCores = demand.m_arrivingMilliCores;
        pool.m_arrivingGrowth = demand.m_arrivingGrowth;
        pool.m_blockedMilliCores = demand.m_blockedMilliCores;
        pool.m_machinesWanted = demand.m_executorsWanted;
    }
    for (auto& machine : m_machines) {
        made.m_machines.push_back(viewMachine(machine));
        made.m_pools[machine.m_machine.m_pool].m_capacityMilliCores += machineMilliCores;
    }
    return made;
}

auto TurnSimulation::noteQuiet(const FleetView& view) -> void
{
    for (const auto& viewed : view.m_machines) {
        auto& machine = m_machines[m_machineById.at(viewed.m_machine.m_id)];
        const auto isWorkWaiting = view.m_pools.at(viewed.m_machine.m_pool).m_waitingMilliCores > 0;
        if (!viewed.m_hasExecutor || viewed.m_runs > 0 || !isWorkWaiting)
            machine.m_quietSince = m_now;
        m_longestQuiet = std::max(m_longestQuiet, m_now - machine.m_quietSince);
    }
}

auto TurnSimulation::order(const std::string& machine, const std::string& pool) -> void
{
    auto& moved = m_machines[m_machineById.at(machine)];
    removeExecutor(moved);
    moved.m_machine.m_pool = pool;
    moved.m_machine.m_state = MachineState::Moving;
    moved.m_hasOrder = true;
    moved.m_readyAt = m_now + m_timing.m_moveTime + listDelay;
    ++m_moves;
}

auto TurnSimulation::planMoves() -> void
{
    if (m_now < m_planDueAt)
        return;
    m_planDueAt = m_now + planInterval;
    const auto viewed = view();
    noteQuiet(viewed);
    std::vector<FleetAction> actions;
    planPoolMoves(viewed, m_timing, m_now, actions);
    std::set<std::string> ordered;
    for (const auto& action : actions) {
        if (ordered.insert(action.m_machine).second)
            order(action.m_machine, action.m_pool);
    }
}

auto TurnSimulation::step() -> void
{
    endRuns();
    finishMoves();
    startTasks();
    planMoves();
    const auto inPools = std::count_if(m_machines.begin(), m_machines.end(),
        [](const SimulatedMachine& machine) { return machine.m_machine.m_pool != "spare"; });
    m_machineSeconds += static_cast<double>(inPools * tick.count()) / millisPerSecond;
    m_now += tick;
}

auto TurnSimulation::aroundOne() -> double { return 0.5 + uniform(); }

auto TurnSimulation::uniform() -> double
{
    return static_cast<double>(m_random() - std::minstd_rand::min())
        / (static_cast<double>(std::minstd_rand::max() - std::minstd_rand::min()) + 1);
}

} // namespace hemlockvane::fleet
