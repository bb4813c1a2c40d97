#include "hemlockvane/scheduling/BlameCrashes.h"

#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hemlockvane::scheduling {

namespace {

// Runs that were older than this when their executor crashed are not suspected, since executors also crash by
// themselves.
constexpr Duration longestSuspicion { 1000 };
constexpr std::uint32_t crashesOfOnlySuspect = 2;
constexpr std::uint32_t maximumCrashes = 4; // Among other suspects, or without an answer to the start.

// Whether the executor may have crashed within a time after it received the start. A start that is still on its way
// may have been sent to an executor that had crashed before.
auto mayHaveCrashedWithin(const TaskRun& run, Instant lostSince, Duration time) -> bool
{
    const auto isOnItsWay = run.m_phase == RunPhase::Starting && !run.m_outcomeUnknownSince;
    return run.m_sentAt && !isOnItsWay && *run.m_sentAt + time >= lostSince;
}

auto runsStartedWithin(Scheduler& scheduler, ExecutorIndex index, std::span<const ExecutorRun> runs, Instant lostSince,
    Duration time) -> std::vector<ExecutorRun>
{
    std::vector<ExecutorRun> suspects;
    for (const auto& item : runs) {
        const auto* run = findRun(scheduler, item.m_task, item.m_run, index);
        if (run != nullptr && mayHaveCrashedWithin(*run, lostSince, time))
            suspects.push_back(item);
    }
    return suspects;
}

// Whether all runs belong to one task or to one gang, whose tasks are started and given up together.
auto isOneSuspect(const Scheduler& scheduler, const std::vector<ExecutorRun>& suspects) -> bool
{
    const auto unitOf = [&](const ExecutorRun& item) {
        const auto& key = item.m_task;
        const auto isGang = findJob(scheduler, key.m_job)->m_spec.m_steps[key.m_step].m_isGang;
        return std::tuple(key.m_job, key.m_occurrence, key.m_step, isGang ? 0 : key.m_index);
    };
    return std::all_of(suspects.begin(), suspects.end(),
        [&](const ExecutorRun& item) { return unitOf(item) == unitOf(suspects.front()); });
}

// Runs of the task on executors that stopped answering just after its start.
auto unresolvedCrashes(const Scheduler& scheduler, const TaskState& task) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(task.m_runs.begin(), task.m_runs.end(), [&](const TaskRun& run) {
        const auto& executor = *scheduler.m_executors[run.m_executor];
        return executor.m_isUnresponsive && mayHaveCrashedWithin(run, executor.m_lostSince, trialTime);
    }));
}

// Counts the certain end of an executor just after a start of the task, and gives the task up if this is enough.
auto countCertainEnd(Scheduler& scheduler, const SilentSuspect& suspect) -> void
{
    auto& task = *findTask(scheduler, suspect.m_task);
    if (suspect.m_isConfirmed)
        ++task.m_crashes;
    else if (suspect.m_wasSent)
        ++task.m_unansweredCrashes;
    else
        return;
    const auto isCulprit = suspect.m_isConfirmed && suspect.m_isOnlySuspect && task.m_crashes >= crashesOfOnlySuspect;
    if (isCulprit || task.m_crashes + task.m_unansweredCrashes >= maximumCrashes)
        scheduler.m_crashingTasks.push_back(suspect.m_task);
}

auto suspectSilence(Executor& executor, TaskState& task, const SilentSuspect& suspect) -> void
{
    executor.m_suspectsOfSilence.push_back(suspect);
    ++task.m_pendingCrashes;
}

// The suspects of a silence that has ended, and the state of each one's task if it is still known.
auto takeSuspects(Scheduler& scheduler, ExecutorIndex index) -> std::vector<std::pair<SilentSuspect, TaskState*>>
{
    std::vector<std::pair<SilentSuspect, TaskState*>> taken;
    for (const auto& suspect : std::exchange(scheduler.m_executors[index]->m_suspectsOfSilence, {})) {
        auto* task = findTask(scheduler, suspect.m_task);
        if (task != nullptr && task->m_pendingCrashes > 0)
            --task->m_pendingCrashes;
        taken.emplace_back(suspect, task);
    }
    return taken;
}

} // namespace

auto isCrash(const Executor& executor) -> bool
{
    return !executor.m_isLeaving && !executor.m_isReserved && !executor.m_entry.m_isDraining;
}

auto hasSuspects(Scheduler& scheduler, ExecutorIndex index, std::span<const ExecutorRun> runs, Instant lostSince)
    -> bool
{
    return !runsStartedWithin(scheduler, index, runs, lostSince, trialTime).empty();
}

auto blameCrash(Scheduler& scheduler, ExecutorIndex index, std::span<const ExecutorRun> lost, const EndedLife& life,
    bool isCertain) -> void
{
    auto& executor = *scheduler.m_executors[index];
    if (!life.m_isCrash)
        return;
    auto suspects = runsStartedWithin(scheduler, index, lost, life.m_lostSince, trialTime);
    const auto wereStartedLast = !suspects.empty();
    if (!wereStartedLast)
        suspects = runsStartedWithin(scheduler, index, lost, life.m_lostSince, longestSuspicion);
    const auto isOnlySuspect = wereStartedLast && !life.m_hasOtherSuspects && isOneSuspect(scheduler, suspects);
    for (const auto& suspect : suspects) {
        auto& task = *findTask(scheduler, suspect.m_task);
        const auto& run = *findRun(scheduler, suspect.m_task, suspect.m_run, index);
        const auto isConfirmed = run.m_isConfirmed && !run.m_isRestored;
        const SilentSuspect counted { suspect.m_task, isConfirmed, !run.m_isRestored, isOnlySuspect };
        if (!isCertain || !isConfirmed)
            ++task.m_possibleCrashes;
        if (isCertain)
            countCertainEnd(scheduler, counted);
        else
            suspectSilence(executor, task, counted);
        task.m_failedOn.push_back(index);
        task.m_needsTrial = wereStartedLast || task.m_crashes >= crashesOfOnlySuspect;
        markDirty(scheduler, *findJob(scheduler, suspect.m_task.m_job));
    }
}

auto withdrawBlame(Scheduler& scheduler, ExecutorIndex index) -> void
{
    for (const auto& [suspect, task] : takeSuspects(scheduler, index)) {
        if (task == nullptr || task->m_possibleCrashes == 0)
            continue;
        --task->m_possibleCrashes;
        task->m_needsTrial = task->m_needsTrial && task->m_crashes + task->m_possibleCrashes > 0;
        markDirty(scheduler, *findJob(scheduler, suspect.m_task.m_job));
    }
}

auto confirmBlame(Scheduler& scheduler, ExecutorIndex index) -> void
{
    for (const auto& [suspect, task] : takeSuspects(scheduler, index)) {
        if (task == nullptr || task->m_possibleCrashes == 0 || !isCrash(*scheduler.m_executors[index]))
            continue;
        if (suspect.m_isConfirmed)
            --task->m_possibleCrashes;
        countCertainEnd(scheduler, suspect);
        markDirty(scheduler, *findJob(scheduler, suspect.m_task.m_job));
    }
}

auto forgetSilence(Scheduler& scheduler, ExecutorIndex index) -> void { takeSuspects(scheduler, index); }

auto giveUpCrashingTasks(Scheduler& scheduler, WallMillis wall) -> std::vector<TaskKey>
{
    std::vector<TaskKey> givenUp;
    for (const auto& key : std::exchange(scheduler.m_crashingTasks, {})) {
        auto* job = findJob(scheduler, key.m_job);
        if (job == nullptr || isFinal(job->m_phase) || findTask(scheduler, key)->m_isDone)
            continue;
        enterPhase(scheduler, *job, JobPhase::Failed, wall);
        givenUp.push_back(key);
    }
    return givenUp;
}

auto markUnresponsive(Executor& executor, Instant lostSince) -> void
{
    if (!executor.m_isUnresponsive)
        executor.m_lostSince = lostSince;
    executor.m_isUnresponsive = true;
}

auto noteStartSent(Scheduler& scheduler, const Action& start, Instant now) -> void
{
    if (auto* run = findRun(scheduler, start.m_task, start.m_run, start.m_executor))
        run->m_sentAt = now;
}

auto needsTrial(const Scheduler& scheduler, const TaskState& task) -> bool
{
    return task.m_needsTrial || unresolvedCrashes(scheduler, task) > 0;
}

auto isHeldBack(const Scheduler& scheduler, const TaskState& task) -> bool
{
    // Whether executors have crashed under it will be known: until then it is neither given up nor started.
    if (task.m_pendingCrashes > 0 && task.m_crashes + task.m_possibleCrashes >= maximumCrashes)
        return true;
    const auto unresolved = unresolvedCrashes(scheduler, task);
    return unresolved > 0 && task.m_crashes + unresolved >= crashesOfOnlySuspect;
}

auto hasTrial(Scheduler& scheduler, const Executor& executor, Instant now) -> bool
{
    if (!executor.m_trial)
        return false;
    const auto index = scheduler.m_executorById.at(executor.m_entry.m_id);
    const auto* run = findRun(scheduler, executor.m_trial->m_task, executor.m_trial->m_run, index);
    return run != nullptr && (!run->m_sentAt || now < *run->m_sentAt + trialTime);
}

auto hasRecentStart(Scheduler& scheduler, ExecutorIndex index, Instant now) -> bool
{
    const auto& runs = scheduler.m_executors[index]->m_runs;
    return std::any_of(runs.begin(), runs.end(), [&](const ExecutorRun& item) {
        const auto* run = findRun(scheduler, item.m_task, item.m_run, index);
        return run != nullptr
            && (run->m_sentAt ? now < *run->m_sentAt + trialTime : run->m_phase == RunPhase::Starting);
    });
}

auto endTrial(TaskState& task, const TaskRun& run, Instant aliveAt) -> void
{
    if (run.m_sentAt && *run.m_sentAt + trialTime <= aliveAt)
        task.m_needsTrial = false;
}

} // namespace hemlockvane::scheduling
