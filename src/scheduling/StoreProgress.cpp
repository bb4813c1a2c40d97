#include "hemlockvane/scheduling/StoreProgress.h"

#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackJobs.h"

#include <algorithm>

namespace hemlockvane::scheduling {

namespace {

// A new owner skips this many run numbers: its predecessor may have used them without storing it.
constexpr std::uint32_t unstoredRuns = 2;

auto appendTask(JobProgress& progress, const TaskKey& key, const StepState& step, const TaskState& task) -> void
{
    if (task.m_highestRun == 0 && !task.m_isDone)
        return;
    TaskProgress row;
    row.m_occurrence = key.m_occurrence;
    row.m_step = key.m_step;
    row.m_index = key.m_index;
    row.m_isDone = task.m_isDone;
    row.m_failures = task.m_failures;
    row.m_gangFailures = step.m_gangFailures;
    row.m_highestRun = task.m_highestRun;
    row.m_endedRuns = task.m_endedRuns;
    row.m_checkpoint = task.m_isDone ? std::string() : task.m_checkpoint;
    progress.m_tasks.push_back(std::move(row));
}

auto restoreTask(Scheduler& scheduler, JobId id, const TaskProgress& row) -> void
{
    const TaskKey key { id, row.m_occurrence, row.m_step, row.m_index };
    auto* task = findTask(scheduler, key);
    if (task == nullptr)
        return;
    auto& step = *findStep(scheduler, key);
    if (row.m_isDone && !task->m_isDone)
        ++step.m_doneCount;
    task->m_isDone = row.m_isDone;
    task->m_failures = row.m_failures;
    task->m_highestRun = row.m_highestRun + unstoredRuns;
    task->m_endedRuns = row.m_endedRuns;
    task->m_checkpoint = row.m_checkpoint;
    step.m_gangFailures = std::max(step.m_gangFailures, row.m_gangFailures);
    step.m_hasBegun = true;
}

} // namespace

auto progressOf(const Job& job) -> JobProgress
{
    JobProgress progress;
    progress.m_phase = job.m_phase;
    progress.m_endedAt = job.m_endedAt;
    progress.m_occurrencesDone = job.m_occurrencesDone;
    if (isFinal(job.m_phase))
        return progress;
    for (const auto& [number, occurrence] : job.m_occurrences) {
        if (occurrence.m_isDone) {
            progress.m_doneOccurrences.push_back(number);
            continue;
        }
        for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
            const auto& state = occurrence.m_steps[step];
            for (std::uint32_t index = 0; index < state.m_tasks.size(); ++index)
                appendTask(progress, { job.m_spec.m_id, number, step, index }, state, state.m_tasks[index]);
        }
    }
    return progress;
}

auto restoreProgress(Scheduler& scheduler, JobId id, const JobProgress& progress) -> void
{
    auto* job = findJob(scheduler, id);
    if (job == nullptr)
        return;
    job->m_occurrencesDone = progress.m_occurrencesDone;
    job->m_endedAt = progress.m_endedAt;
    for (const auto number : progress.m_doneOccurrences) {
        auto* occurrence = occurrenceOf(*job, number);
        if (occurrence != nullptr)
            occurrence->m_isDone = true;
    }
    for (const auto& row : progress.m_tasks)
        restoreTask(scheduler, id, row);
    if (!isFinal(job->m_phase))
        job->m_phase = progress.m_phase;
    job->m_durablePhase = job->m_phase;
}

} // namespace hemlockvane::scheduling
