#include "hemlockvane/scheduling/Evacuate.h"

#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/scheduling/CheckFit.h"
#include "hemlockvane/scheduling/IndexRoom.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/StartCandidate.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <algorithm>
#include <map>
#include <optional>

namespace hemlockvane::scheduling {

namespace {

constexpr std::int32_t availablePercent = 100;

// A task on an unresponsive executor counts as unavailable, and one that an earlier owner may have had stopped.
auto isAvailable(const Scheduler& scheduler, const TaskState& task) -> bool
{
    return std::any_of(task.m_runs.begin(), task.m_runs.end(), [&](const TaskRun& run) {
        return run.m_phase == RunPhase::Running && !run.m_mayBeStopping && run.m_percent >= availablePercent
            && !scheduler.m_executors[run.m_executor]->m_isUnresponsive;
    });
}

// Counts the other unavailable tasks of the step. The task itself is left out: its report may be a second old, and it
// may have become available since.
auto countOthersUnavailable(const Scheduler& scheduler, const StepState& step, std::uint32_t index) -> std::size_t
{
    std::size_t unavailable = 0;
    for (std::uint32_t other = 0; other < step.m_tasks.size(); ++other) {
        if (other != index && !isAvailable(scheduler, step.m_tasks[other]))
            ++unavailable;
    }
    return unavailable;
}

auto mayBecomeUnavailable(const Scheduler& scheduler, const StepSpec& spec, const StepState& step, std::uint32_t index)
    -> bool
{
    return countOthersUnavailable(scheduler, step, index) < std::max<std::size_t>(spec.m_maxUnavailable, 1);
}

// What tasks that are moved in the same pass will take on an executor.
struct PlannedRoom {
    Resources m_resources;
    std::map<const StepState*, std::uint32_t> m_tasks;
};

using PlannedRooms = std::map<ExecutorIndex, PlannedRoom>;

auto hasRoomBeside(
    const StartCandidate& candidate, const Executor& executor, ExecutorIndex index, const PlannedRoom& planned) -> bool
{
    if (!obstacleToRoom(candidate, executor, index, planned.m_resources).empty())
        return false;
    const auto& step = *candidate.m_state;
    const auto moved = planned.m_tasks.find(&step);
    const auto runs = step.m_runsByExecutor.find(index);
    const auto tasks = (moved == planned.m_tasks.end() ? 0 : moved->second)
        + (runs == step.m_runsByExecutor.end() ? 0 : runs->second);
    return candidate.m_spec->m_perExecutorLimit == 0 || tasks < candidate.m_spec->m_perExecutorLimit;
}

auto findRoom(const Scheduler& scheduler, const Job& job, const StepSpec& spec, StepState& step, PlannedRooms& planned)
    -> std::optional<ExecutorIndex>
{
    const auto queue = scheduler.m_rules.m_queues.find(job.m_spec.m_queue);
    if (queue == scheduler.m_rules.m_queues.end())
        return std::nullopt;
    StartCandidate candidate;
    candidate.m_spec = &spec;
    candidate.m_state = &step;
    candidate.m_need = requiredResources(spec);
    const auto& pools = scheduler.m_starts.m_pools;
    for (std::size_t pool = 0; pool < pools.size(); ++pool) {
        if (pools[pool].m_service != queue->second.m_service)
            continue;
        for (const auto index : openExecutors(scheduler, pool)) {
            if (hasRoomBeside(candidate, *scheduler.m_executors[index], index, planned[index]))
                return index;
        }
    }
    return std::nullopt;
}

auto isMovable(const StepSpec& spec, const TaskRun* run) -> bool
{
    return spec.m_isLongRunning && run != nullptr && run->m_phase == RunPhase::Running;
}

// Stops the long-running tasks of an executor that may become unavailable and may go by the caller's condition.
template <typename Condition>
auto stopLongRunning(Scheduler& scheduler, ExecutorIndex index, Condition mayGo) -> std::size_t
{
    std::size_t stopped = 0;
    for (const auto& item : scheduler.m_executors[index]->m_runs) {
        const auto& job = *findJob(scheduler, item.m_task.m_job);
        const auto& spec = job.m_spec.m_steps[item.m_task.m_step];
        auto* run = findRun(scheduler, item.m_task, item.m_run, index);
        if (!isMovable(spec, run))
            continue;
        auto& step = *findStep(scheduler, item.m_task);
        if (!mayBecomeUnavailable(scheduler, spec, step, item.m_task.m_index) || !mayGo(job, spec, step))
            continue;
        stopRun(scheduler, *run);
        ++stopped;
    }
    return stopped;
}

auto moveLongRunning(Scheduler& scheduler, ExecutorIndex index, PlannedRooms& planned) -> std::size_t
{
    return stopLongRunning(scheduler, index, [&](const Job& job, const StepSpec& spec, StepState& step) {
        const auto room = findRoom(scheduler, job, spec, step, planned);
        if (!room)
            return false;
        addTo(planned[*room].m_resources, requiredResources(spec));
        ++planned[*room].m_tasks[&step];
        return true;
    });
}

// Whether a stop ends the only run of a long-running task that is still wanted: it is to be started elsewhere.
auto isEvacuation(const Job& job, const StepSpec& spec, const TaskState& task) -> bool
{
    return spec.m_isLongRunning && !isFinal(job.m_phase) && !task.m_isDone && task.m_runs.size() == 1;
}

} // namespace

auto evacuate(Scheduler& scheduler, ExecutorIndex index) -> std::size_t
{
    return stopLongRunning(scheduler, index, [](const Job&, const StepSpec&, const StepState&) { return true; });
}

auto evacuateZones(Scheduler& scheduler) -> std::size_t
{
    if (scheduler.m_rules.m_evacuatedZones.empty())
        return 0;
    std::size_t stopped = 0;
    PlannedRooms planned;
    for (const auto index : scheduler.m_activeExecutors) {
        const auto& executor = *scheduler.m_executors[index];
        if (executor.m_isZoneEvacuated && executor.m_activeLongRunningRuns > 0)
            stopped += moveLongRunning(scheduler, index, planned);
    }
    return stopped;
}

auto confirmStop(Scheduler& scheduler, const Action& stop, bool wasSent) -> bool
{
    auto* run = findRun(scheduler, stop.m_task, stop.m_run, stop.m_executor);
    if (run == nullptr || wasSent)
        return true;
    const auto& job = *findJob(scheduler, stop.m_task.m_job);
    const auto& spec = job.m_spec.m_steps[stop.m_task.m_step];
    const auto& step = *findStep(scheduler, stop.m_task);
    const auto wasAvailable = run->m_percent >= availablePercent && !run->m_outcomeUnknownSince;
    if (wasAvailable && isEvacuation(job, spec, step.m_tasks[stop.m_task.m_index])
        && !scheduler.m_executors[stop.m_executor]->m_entry.m_isDraining
        && !mayBecomeUnavailable(scheduler, spec, step, stop.m_task.m_index)) {
        run->m_phase = RunPhase::Running;
        return false;
    }
    return true;
}

} // namespace hemlockvane::scheduling
