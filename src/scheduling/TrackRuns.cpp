#include "hemlockvane/scheduling/TrackRuns.h"

#include "hemlockvane/scheduling/AttemptLimits.h"
#include "hemlockvane/scheduling/MeasureStartDelay.h"
#include "hemlockvane/scheduling/ObserveInterference.h"
#include "hemlockvane/scheduling/OpenOccurrences.h"
#include "hemlockvane/scheduling/RequestAdvice.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"

#include <algorithm>

namespace hemlockvane::scheduling {

namespace {

constexpr std::uint32_t failuresBeforeBackoff = 2; // Consecutive failed runs of different jobs.
constexpr Duration refusalBackoff { 200 }; // After a start that an executor refused or did not answer.

constexpr std::uint32_t countedRuns = 64; // Bits for the outcomes of a task's newest runs.

auto endBit(std::uint32_t run) -> std::uint64_t { return std::uint64_t { 1 } << (run % countedRuns); }

// Whether the run's bit stands for a later run by now.
auto isBitReused(const TaskState& task, std::uint32_t run) -> bool
{
    return task.m_highestRun > run && task.m_highestRun - run >= countedRuns;
}

// Whether the outcome was counted, or may have been. A task that is done stays so, however often this is counted.
auto wasCounted(const TaskState& task, const EndedRun& end) -> bool
{
    if (isBitReused(task, end.m_run))
        return end.m_kind != RunOutcome::Done;
    return (task.m_countedRunBits & endBit(end.m_run)) != 0;
}

auto markCounted(TaskState& task, std::uint32_t run) -> void
{
    task.m_highestRun = std::max(task.m_highestRun, run);
    if (!isBitReused(task, run))
        task.m_countedRunBits |= endBit(run);
}

auto stopRuns(Scheduler& scheduler, TaskState& task) -> void
{
    for (auto& run : task.m_runs)
        stopRun(scheduler, run);
}

auto finishTask(Scheduler& scheduler, StepState& step, TaskState& task) -> void
{
    if (task.m_isDone)
        return;
    task.m_isDone = true;
    ++step.m_doneCount;
    if (step.m_doneCount == step.m_tasks.size())
        step.m_advice = {};
    step.m_runningTasks -= task.m_runs.empty() ? 0 : 1;
    stopRuns(scheduler, task);
}

auto updateFailureBackoff(Scheduler& scheduler, Executor& executor, const EndedRun& end, Instant now) -> void
{
    if (end.m_kind == RunOutcome::Done)
        executor.m_consecutiveFailures = 0;
    if (end.m_kind != RunOutcome::Failed || end.m_task.m_job == executor.m_lastFailedJob)
        return;
    executor.m_lastFailedJob = end.m_task.m_job;
    if (++executor.m_consecutiveFailures >= failuresBeforeBackoff)
        executor.m_backoffUntil = now + scheduler.m_timing.m_failureBackoff;
}

auto countFailure(Scheduler& scheduler, Job& job, StepState& step, TaskState& task, bool isGang, WallMillis wall)
    -> void
{
    auto& failures = isGang ? step.m_gangFailures : task.m_failures;
    ++failures;
    const auto attempts = maximumAttempts(scheduler.m_rules, job);
    if (!attempts || !scheduler.m_mayFailJobs)
        scheduler.m_undecidedJobs.insert(job.m_spec.m_id);
    else if (failures >= *attempts)
        enterPhase(scheduler, job, JobPhase::Failed, wall);
}

auto countDone(Scheduler& scheduler, Job& job, const TaskKey& key, bool isGang, WallMillis wall) -> void
{
    auto& occurrence = *ensureOccurrence(job, key.m_occurrence);
    auto& step = occurrence.m_steps[key.m_step];
    if (isGang) {
        for (std::size_t index = 0; index < step.m_tasks.size(); ++index)
            finishTask(scheduler, step, step.m_tasks.edit(index));
    } else {
        finishTask(scheduler, step, step.m_tasks.edit(key.m_index));
    }
    completeWhenDone(scheduler, job, occurrence, wall);
    markChanged(scheduler, job);
}

// 0 if it is not known when the run was started.
auto timeSinceStart(const TaskRun* run, Instant now) -> Duration
{
    return run == nullptr || !run->m_startAnsweredAt ? Duration { 0 } : now - *run->m_startAnsweredAt;
}

// A start that may have been carried out is stopped, and the task is started anew. A long-running task may have become
// available by then, and stopping it would make one more task of its step unavailable: the next poll decides.
auto handleUnansweredStart(Scheduler& scheduler, const TaskKey& key, TaskRun& run, Instant now) -> void
{
    const auto& spec = findJob(scheduler, key.m_job)->m_spec.m_steps[key.m_step];
    if (spec.m_isLongRunning && !spec.m_isGang)
        run.m_outcomeUnknownSince = now;
    else
        stopRun(scheduler, run);
}

} // namespace

auto requiredResources(const StepSpec& step) -> Resources
{
    auto resources = step.m_perTask;
    if (step.m_isFiller)
        resources.m_cpuMilliCores = 0;
    return resources;
}

auto stopRun(Scheduler& scheduler, TaskRun& run) -> void
{
    run.m_phase = RunPhase::Stopping;
    scheduler.m_executors[run.m_executor]->m_hasStoppingRuns = true;
}

auto stopRuns(Scheduler& scheduler, StepState& step) -> void
{
    for (auto index = step.m_tasks.nextOwnState(0); index < step.m_tasks.size();
         index = step.m_tasks.nextOwnState(index + 1))
        stopRuns(scheduler, step.m_tasks.edit(index));
}

auto findRun(Scheduler& scheduler, const TaskKey& key, std::uint32_t run, ExecutorIndex executor) -> TaskRun*
{
    auto* task = findTask(scheduler, key);
    if (task == nullptr)
        return nullptr;
    const auto found = std::find_if(task->m_runs.begin(), task->m_runs.end(),
        [&](const TaskRun& item) { return item.m_run == run && item.m_executor == executor; });
    return found == task->m_runs.end() ? nullptr : &*found;
}

auto addRun(Scheduler& scheduler, const TaskKey& key, std::uint32_t run, ExecutorIndex executor, RunPhase phase,
    Instant now) -> TaskRun&
{
    auto& job = *findJob(scheduler, key.m_job);
    auto& step = *findStep(scheduler, key);
    auto& task = step.m_tasks.edit(key.m_index);
    const auto& spec = job.m_spec.m_steps[key.m_step];
    auto& target = *scheduler.m_executors[executor];
    if (run > task.m_highestRun)
        task.m_countedRunBits &= ~endBit(run); // It may be set by the run 64 starts earlier.
    task.m_highestRun = std::max(task.m_highestRun, run);
    TaskRun added;
    added.m_run = run;
    added.m_executor = executor;
    added.m_phase = phase;
    added.m_orderedAt = now;
    step.m_runningTasks += task.m_runs.empty() && !task.m_isDone ? 1 : 0;
    task.m_runs.push_back(added);
    ++step.m_runsByExecutor[executor];
    target.m_runs.push_back({ key, run });
    activateExecutor(scheduler, executor);
    target.m_activeLongRunningRuns += spec.m_isLongRunning ? 1 : 0;
    target.m_fillerRuns += spec.m_isFiller ? 1 : 0;
    if (!spec.m_image.empty())
        ++target.m_images[spec.m_image];
    target.m_hasStoppingRuns = target.m_hasStoppingRuns || phase == RunPhase::Stopping;
    addTo(target.m_used, requiredResources(spec));
    addTo(scheduler.m_usedByWorkspace[job.m_spec.m_workspace], spec.m_perTask);
    if (!spec.m_isLongRunning)
        addTo(scheduler.m_usedByQueue[job.m_spec.m_queue][job.m_spec.m_workspace], spec.m_perTask);
    // An executor may report a run after its job was retired.
    if (isFinal(job.m_phase) && scheduler.m_active.insert(key.m_job).second)
        scheduler.m_endedJobs.push_back(key.m_job);
    markDirty(scheduler, job);
    markChanged(scheduler, job);
    return task.m_runs.back();
}

auto removeRun(Scheduler& scheduler, const TaskKey& key, std::uint32_t run, ExecutorIndex executor) -> void
{
    auto* found = findRun(scheduler, key, run, executor);
    if (found == nullptr)
        return;
    auto& job = *findJob(scheduler, key.m_job);
    auto& step = *findStep(scheduler, key);
    auto& task = step.m_tasks.edit(key.m_index);
    const auto& spec = job.m_spec.m_steps[key.m_step];
    auto& target = *scheduler.m_executors[executor];
    endFlight(scheduler, *found);
    task.m_runs.erase(task.m_runs.begin() + (found - task.m_runs.data()));
    step.m_runningTasks -= task.m_runs.empty() && !task.m_isDone ? 1 : 0;
    if (--step.m_runsByExecutor[executor] == 0)
        step.m_runsByExecutor.erase(executor);
    std::erase(target.m_runs, ExecutorRun { key, run });
    if (target.m_trial == ExecutorRun { key, run })
        target.m_trial.reset();
    target.m_activeLongRunningRuns -= spec.m_isLongRunning ? 1 : 0;
    target.m_fillerRuns -= spec.m_isFiller ? 1 : 0;
    if (!spec.m_image.empty() && --target.m_images[spec.m_image] == 0)
        target.m_images.erase(spec.m_image);
    subtractFrom(target.m_used, requiredResources(spec));
    subtractFrom(scheduler.m_usedByWorkspace[job.m_spec.m_workspace], spec.m_perTask);
    if (!spec.m_isLongRunning)
        subtractFrom(scheduler.m_usedByQueue[job.m_spec.m_queue][job.m_spec.m_workspace], spec.m_perTask);
    markChanged(scheduler, job);
}

auto dropRun(Scheduler& scheduler, const TaskKey& key, std::uint32_t run, ExecutorIndex executor, DropReason reason,
    Instant now) -> void
{
    const auto* found = findRun(scheduler, key, run, executor);
    if (found == nullptr)
        return;
    const auto startedAtMs = scheduler.m_executors[executor]->m_entry.m_startedAtMs;
    scheduler.m_droppedRuns.push_back({ key, run, executor, reason, now - found->m_orderedAt, startedAtMs });
    removeRun(scheduler, key, run, executor);
}

auto noteFoundRun(Scheduler& scheduler, const TaskKey& key, std::uint32_t run, ExecutorIndex executor, bool hasEnded,
    bool isStopped) -> void
{
    const auto startedAtMs = scheduler.m_executors[executor]->m_entry.m_startedAtMs;
    FoundRun found { key, run, executor, startedAtMs, hasEnded, isStopped, {}, 0 };
    const auto* task = findTask(scheduler, key);
    if (task != nullptr && !task->m_runs.empty()) {
        found.m_otherRun = task->m_runs.back().m_run;
        found.m_otherExecutor = task->m_runs.back().m_executor;
    }
    scheduler.m_foundRuns.push_back(found);
}

auto countsAsFailure(Scheduler& scheduler, const EndedRun& end) -> bool
{
    const auto* task = findTask(scheduler, end.m_task);
    if (task == nullptr || end.m_kind != RunOutcome::Failed || wasCounted(*task, end))
        return false;
    const auto& job = *findJob(scheduler, end.m_task.m_job);
    return !isFinal(job.m_phase) && !job.m_spec.m_steps[end.m_task.m_step].m_isLongRunning;
}

auto applyRunEnd(Scheduler& scheduler, ExecutorIndex executor, const EndedRun& end, Instant now, WallMillis wall)
    -> void
{
    updateFailureBackoff(scheduler, *scheduler.m_executors[executor], end, now);
    const auto* present = findRun(scheduler, end.m_task, end.m_run, executor);
    const auto wasPresent = present != nullptr;
    const auto duration = timeSinceStart(present, now);
    removeRun(scheduler, end.m_task, end.m_run, executor);
    auto* task = findTask(scheduler, end.m_task);
    if (task == nullptr)
        return;
    auto& job = *findJob(scheduler, end.m_task.m_job);
    auto& step = *findStep(scheduler, end.m_task);
    const auto& spec = job.m_spec.m_steps[end.m_task.m_step];
    markBegun(job);
    if (!end.m_checkpoint.empty())
        task->m_checkpoint = end.m_checkpoint;
    if (end.m_kind == RunOutcome::Done || end.m_kind == RunOutcome::Failed)
        task->m_needsTrial = false;
    markDirty(scheduler, job);
    const auto isKnown = wasCounted(*task, end);
    markCounted(*task, end.m_run);
    if (!wasPresent && !isKnown)
        noteFoundRun(scheduler, end.m_task, end.m_run, executor, true, false);
    if (spec.m_isLongRunning || isKnown || isFinal(job.m_phase))
        return;
    if (end.m_kind == RunOutcome::Done) {
        observeDuration(scheduler, executor, spec, duration, now);
        countDone(scheduler, job, end.m_task, spec.m_isGang, wall);
    }
    if (end.m_kind == RunOutcome::Failed) {
        task->m_failedOn.push_back(executor);
        countFailure(scheduler, job, step, *task, spec.m_isGang, wall);
        // A run of a gang counts once, however many members report that it has failed.
        if (spec.m_isGang) {
            for (std::size_t index = 0; index < step.m_tasks.size(); ++index)
                markCounted(step.m_tasks.edit(index), end.m_run);
        }
    }
    if (spec.m_isGang && end.m_kind != RunOutcome::Done)
        stopRuns(scheduler, step);
}

auto applyStartAnswer(Scheduler& scheduler, ExecutorIndex executor, const TaskKey& key, std::uint32_t run,
    StartAnswer answer, bool wasRepeated, Instant now) -> void
{
    auto& target = *scheduler.m_executors[executor];
    if (answer == StartAnswer::OtherIncarnation) {
        markTerminated(scheduler, executor, now);
        return;
    }
    auto* found = findRun(scheduler, key, run, executor);
    if (found == nullptr)
        return;
    if (answer == StartAnswer::Started) {
        confirmStart(scheduler, *found, now);
        found->m_isConfirmed = true;
        found->m_startAnsweredAt = now;
        if (found->m_phase == RunPhase::Starting)
            found->m_phase = RunPhase::Running;
        markBegun(*findJob(scheduler, key.m_job));
        return;
    }
    endFlight(scheduler, *found);
    if (answer == StartAnswer::NoCapacity || answer == StartAnswer::Refused || answer == StartAnswer::Unknown)
        target.m_backoffUntil = std::max(target.m_backoffUntil, now + refusalBackoff);
    if (answer == StartAnswer::BadTicket)
        dropTicket(findStep(scheduler, key)->m_advice, executor, now + scheduler.m_timing.m_adviceRetry);
    if (answer == StartAnswer::Unknown || (wasRepeated && answer != StartAnswer::AlreadyEnded)) {
        handleUnansweredStart(scheduler, key, *found, now);
        return;
    }
    if (answer == StartAnswer::AlreadyEnded && wasRepeated) {
        // An earlier request was carried out and its run has ended: the next poll returns its outcome.
        stopRun(scheduler, *found);
        found->m_stopAnsweredAt = now;
        return;
    }
    if (answer == StartAnswer::NotSent && findJob(scheduler, key.m_job)->m_spec.m_steps[key.m_step].m_isGang)
        stopRuns(scheduler, *findStep(scheduler, key));
    const auto reason = answer == StartAnswer::NotSent ? DropReason::NotSent : DropReason::Refused;
    dropRun(scheduler, key, run, executor, reason, now);
}

auto applyStopAnswer(Scheduler& scheduler, ExecutorIndex executor, const TaskKey& key, std::uint32_t run, Instant now)
    -> void
{
    auto* found = findRun(scheduler, key, run, executor);
    if (found != nullptr && !found->m_stopAnsweredAt)
        found->m_stopAnsweredAt = now;
}

} // namespace hemlockvane::scheduling
