#include "hemlockvane/scheduling/StoreProgress.h"

#include "hemlockvane/scheduling/OpenOccurrences.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <algorithm>

namespace hemlockvane::scheduling {

namespace {

auto appendTask(JobProgress& progress, const TaskKey& key, const StepState& step, const TaskState& task) -> void
{
    if (task.m_highestRun == 0 && !task.m_isDone)
        return;
    TaskProgress stored;
    stored.m_occurrence = key.m_occurrence;
    stored.m_step = key.m_step;
    stored.m_index = key.m_index;
    stored.m_isDone = task.m_isDone;
    stored.m_failures = task.m_failures;
    stored.m_gangFailures = step.m_gangFailures;
    stored.m_crashes = task.m_crashes;
    stored.m_possibleCrashes = task.m_possibleCrashes;
    stored.m_highestRun = task.m_highestRun;
    stored.m_countedRunBits = task.m_countedRunBits;
    stored.m_checkpoint = task.m_isDone ? std::string() : task.m_checkpoint;
    progress.m_tasks.push_back(std::move(stored));
}

auto appendRuns(JobProgress& progress, const Scheduler& scheduler, JobId id, std::uint32_t number,
    const Occurrence& occurrence) -> void
{
    for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
        const auto& tasks = occurrence.m_steps[step].m_tasks;
        for (auto index = tasks.nextOwnState(0); index < tasks.size(); index = tasks.nextOwnState(index + 1)) {
            const TaskKey key { id, number, step, static_cast<std::uint32_t>(index) };
            for (const auto& run : tasks[index].m_runs)
                progress.m_runs.push_back({ key, run.m_run, scheduler.m_executors[run.m_executor]->m_entry.m_id });
        }
    }
}

auto restoreRun(Scheduler& scheduler, const Job& job, const RunProgress& stored, Instant now) -> void
{
    const auto executor = scheduler.m_executorById.find(stored.m_executorId);
    const auto* task = findTask(scheduler, stored.m_task);
    if (task == nullptr || executor == scheduler.m_executorById.end()
        || findRun(scheduler, stored.m_task, stored.m_run, executor->second) != nullptr)
        return;
    const auto isNeeded = !isFinal(job.m_phase) && !task->m_isDone;
    auto& run = addRun(scheduler, stored.m_task, stored.m_run, executor->second,
        isNeeded ? RunPhase::Running : RunPhase::Stopping, now);
    run.m_sentAt = now; // Its start may have been sent at any time before.
    run.m_unansweredAt = now;
    run.m_isRestored = true;
    run.m_mayBeStopping = true;
}

// An earlier owner may have stored the number of each occurrence that was done.
auto restoreDoneOccurrences(Job& job, const JobProgress& progress) -> void
{
    job.m_doneBelow = std::max(job.m_doneBelow, progress.m_doneBelow);
    for (const auto number : progress.m_doneOccurrences)
        markOccurrenceDone(job, number);
}

auto restoreIsDone(StepState& step, TaskState& task, bool isDone) -> void
{
    if (task.m_isDone == isDone)
        return;
    const std::uint32_t running = task.m_runs.empty() ? 0 : 1;
    step.m_doneCount = isDone ? step.m_doneCount + 1 : step.m_doneCount - 1;
    step.m_runningTasks = isDone ? step.m_runningTasks - running : step.m_runningTasks + running;
    task.m_isDone = isDone;
}

auto restoreTask(Scheduler& scheduler, JobId id, const TaskProgress& stored) -> void
{
    const TaskKey key { id, stored.m_occurrence, stored.m_step, stored.m_index };
    auto* task = findTask(scheduler, key);
    if (task == nullptr)
        return;
    auto& step = *findStep(scheduler, key);
    restoreIsDone(step, *task, stored.m_isDone);
    task->m_failures = stored.m_failures;
    task->m_crashes = stored.m_crashes;
    task->m_possibleCrashes = stored.m_possibleCrashes;
    task->m_needsTrial = stored.m_crashes + stored.m_possibleCrashes > 0;
    task->m_highestRun = stored.m_highestRun;
    task->m_countedRunBits = stored.m_countedRunBits;
    task->m_checkpoint = stored.m_checkpoint;
    step.m_gangFailures = std::max(step.m_gangFailures, stored.m_gangFailures);
    // The earlier owner may have counted them without a limit.
    if (stored.m_failures + stored.m_gangFailures > 0)
        scheduler.m_undecidedJobs.insert(id);
}

} // namespace

auto progressOf(const Scheduler& scheduler, const Job& job) -> JobProgress
{
    JobProgress progress;
    progress.m_phase = job.m_phase;
    progress.m_endedAt = job.m_endedAt;
    progress.m_occurrencesDone = job.m_occurrencesDone;
    for (const auto& [number, occurrence] : job.m_occurrences)
        appendRuns(progress, scheduler, job.m_spec.m_id, number, occurrence);
    if (isFinal(job.m_phase))
        return progress;
    progress.m_doneBelow = job.m_doneBelow;
    progress.m_doneOccurrences.assign(job.m_doneOccurrences.begin(), job.m_doneOccurrences.end());
    for (const auto& [number, occurrence] : job.m_occurrences) {
        for (std::uint32_t step = 0; !occurrence.m_isDone && step < occurrence.m_steps.size(); ++step) {
            const auto& state = occurrence.m_steps[step];
            const auto& tasks = state.m_tasks;
            for (auto index = tasks.nextOwnState(0); index < tasks.size(); index = tasks.nextOwnState(index + 1)) {
                const TaskKey key { job.m_spec.m_id, number, step, static_cast<std::uint32_t>(index) };
                appendTask(progress, key, state, tasks[index]);
            }
        }
    }
    return progress;
}

auto restoreProgress(Scheduler& scheduler, JobId id, const JobProgress& progress, Instant now) -> void
{
    auto* job = findJob(scheduler, id);
    if (job == nullptr)
        return;
    job->m_occurrencesDone = progress.m_occurrencesDone;
    restoreDoneOccurrences(*job, progress);
    for (const auto& stored : progress.m_tasks)
        restoreTask(scheduler, id, stored);
    job->m_durablePhase = progress.m_phase;
    // A stored end came before a cancellation that was read since. Without one the job ends with the cancellation,
    // which is still to be stored.
    if (isFinal(progress.m_phase) || !isFinal(job->m_phase))
        job->m_phase = progress.m_phase;
    if (isFinal(progress.m_phase) && progress.m_endedAt != 0)
        job->m_endedAt = progress.m_endedAt;
    for (const auto& stored : progress.m_runs)
        restoreRun(scheduler, *job, stored, now);
    if (isFinal(job->m_phase))
        scheduler.m_endedJobs.push_back(id);
    markChanged(scheduler, *job);
}

auto restoreTasks(Scheduler& scheduler, JobId id, const JobProgress& progress, Instant now) -> void
{
    auto* job = findJob(scheduler, id);
    if (job == nullptr)
        return;
    for (const auto& stored : progress.m_tasks)
        restoreTask(scheduler, id, stored);
    for (const auto& stored : progress.m_runs)
        restoreRun(scheduler, *job, stored, now);
    markChanged(scheduler, *job);
}

} // namespace hemlockvane::scheduling
