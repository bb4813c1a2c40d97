#include "hemlockvane/scheduling/Evacuate.h"

#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <algorithm>

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

// Whether a stop ends the only run of a long-running task that is still wanted: it is to be started elsewhere.
auto isEvacuation(const Job& job, const StepSpec& spec, const TaskState& task) -> bool
{
    return spec.m_isLongRunning && !isFinal(job.m_phase) && !task.m_isDone && task.m_runs.size() == 1;
}

} // namespace

auto evacuate(Scheduler& scheduler, ExecutorIndex index) -> std::size_t
{
    std::size_t stopped = 0;
    for (const auto& item : scheduler.m_executors[index]->m_runs) {
        const auto& job = *findJob(scheduler, item.m_task.m_job);
        const auto& spec = job.m_spec.m_steps[item.m_task.m_step];
        auto* run = findRun(scheduler, item.m_task, item.m_run, index);
        if (!spec.m_isLongRunning || run == nullptr || run->m_phase != RunPhase::Running)
            continue;
        const auto& step = *findStep(scheduler, item.m_task);
        if (!mayBecomeUnavailable(scheduler, spec, step, item.m_task.m_index))
            continue;
        stopRun(scheduler, *run);
        ++stopped;
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
