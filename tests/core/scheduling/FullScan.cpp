#include "core/scheduling/FullScan.h"

#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/scheduling/AttemptLimits.h"
#include "hemlockvane/scheduling/BlameCrashes.h"
#include "hemlockvane/scheduling/Labels.h"
#include "hemlockvane/scheduling/MeasureStartDelay.h"
#include "hemlockvane/scheduling/OpenOccurrences.h"
#include "hemlockvane/scheduling/RankPlacement.h"
#include "hemlockvane/scheduling/RequestAdvice.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/StartCandidate.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"
#include "hemlockvane/scheduling/WorkspaceLimits.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace hemlockvane::scheduling {

namespace {

constexpr std::int64_t overdueFactor = 2; // A run is overdue after this multiple of its estimate.
constexpr std::int64_t lapseFactor = 3; // A job is of no use to its caller after this multiple of its objective.

// What a task needs that found no executor.
struct UnmetNeed {
    std::string_view m_label;
    Resources m_resources;
};

// Executors of a service on which tasks may be started now.
struct Pool {
    std::vector<ExecutorIndex> m_schedulable; // Without those on which a task is on trial.
    std::size_t m_trials = 0; // Executors on which a task is on trial.
    std::vector<UnmetNeed> m_unmetNeeds; // In this plan; since a plan only adds runs, they stay unmet.
};

using Pools = std::map<std::string_view, Pool>;

auto schedulablePools(Scheduler& scheduler, Instant now) -> Pools
{
    Pools pools;
    for (const auto index : scheduler.m_activeExecutors) {
        const auto& executor = *scheduler.m_executors[index];
        if (!isSchedulable(executor, now) || !isCapacityKnown(scheduler, executor, now))
            continue;
        auto& pool = pools[executor.m_entry.m_service];
        if (hasTrial(scheduler, executor, now))
            ++pool.m_trials;
        else
            pool.m_schedulable.push_back(index);
    }
    return pools;
}

// A second run of a task is started when the only run is on an unresponsive executor or is overdue.
auto needsDuplicate(const Scheduler& scheduler, const StepSpec& spec, const TaskState& task, Instant now) -> bool
{
    if (!spec.m_allowsDuplicates || spec.m_isGang || task.m_runs.size() != 1)
        return false;
    const auto& run = task.m_runs.front();
    const auto overdueAfter = Duration(spec.m_estimateMs * overdueFactor) + scheduler.m_timing.m_placementMargin;
    return scheduler.m_executors[run.m_executor]->m_isUnresponsive || now - run.m_orderedAt > overdueAfter;
}

auto needsRun(const Scheduler& scheduler, const StepSpec& spec, const TaskState& task, Instant now) -> bool
{
    return !task.m_isDone && (task.m_runs.empty() || needsDuplicate(scheduler, spec, task, now));
}

auto hasWaitingTask(const Scheduler& scheduler, const StepSpec& spec, const StepState& step, Instant now) -> bool
{
    return std::any_of(step.m_tasks.begin(), step.m_tasks.end(),
        [&](const TaskState& task) { return needsRun(scheduler, spec, task, now); });
}

auto hasBegun(const Occurrence& occurrence) -> bool
{
    return std::any_of(occurrence.m_steps.begin(), occurrence.m_steps.end(),
        [](const StepState& step) { return step.m_doneCount > 0 || !step.m_runsByExecutor.empty(); });
}

auto beginOf(const Job& job, const Occurrence& occurrence) -> WallMillis
{
    return job.m_spec.m_occurrences > 0 ? occurrence.m_due : job.m_spec.m_submittedAt;
}

auto objectiveDeadline(const Job& job, const Occurrence& occurrence, const QueueRules& queue) -> std::int64_t
{
    const auto criticalPath = job.m_criticalPathMs.empty()
        ? 0
        : *std::max_element(job.m_criticalPathMs.begin(), job.m_criticalPathMs.end());
    return beginOf(job, occurrence) + static_cast<std::int64_t>(queue.m_stretch * static_cast<double>(criticalPath))
        + queue.m_latencyTargetMs;
}

auto classify(const Scheduler& scheduler, const Occurrence& occurrence, WallMillis wall, StartCandidate& candidate)
    -> void
{
    const auto& job = *candidate.m_job;
    const auto isBegun = hasBegun(occurrence);
    const auto delay = isBegun ? Duration { 0 } : startDelay(scheduler);
    const auto path = Duration(job.m_criticalPathMs[candidate.m_step]) + scheduler.m_timing.m_placementMargin;
    const auto lateness = wall + path.count() - candidate.m_dueMs;
    const auto objective = candidate.m_dueMs - beginOf(job, occurrence);
    candidate.m_order = candidate.m_dueMs;
    if (candidate.m_spec->m_isLongRunning) {
        candidate.m_class = CandidateClass::LongRunning;
    } else if (lateness + (job.m_criticalPathSteps[candidate.m_step] * delay).count() <= 0) {
        candidate.m_class = CandidateClass::InTime;
    } else if (lateness > objective * (lapseFactor - 1)) {
        candidate.m_class = CandidateClass::Lapsed;
    } else if (isBegun) {
        candidate.m_class = CandidateClass::LateBegun;
    } else {
        candidate.m_class = CandidateClass::Late;
        candidate.m_order = lateness;
    }
}

auto collectFromJob(
    const Scheduler& scheduler, Job& job, Instant now, WallMillis wall, std::vector<StartCandidate>& candidates) -> void
{
    const auto queue = scheduler.m_rules.m_queues.find(job.m_spec.m_queue);
    if (isFinal(job.m_phase) || queue == scheduler.m_rules.m_queues.end())
        return;
    openDueOccurrences(job, wall);
    for (auto& [number, occurrence] : job.m_occurrences) {
        for (std::uint32_t step = 0; !occurrence.m_isDone && step < occurrence.m_steps.size(); ++step) {
            auto& state = occurrence.m_steps[step];
            if (!isStepReady(job.m_spec.m_steps[step], occurrence)
                || !hasWaitingTask(scheduler, job.m_spec.m_steps[step], state, now))
                continue;
            StartCandidate candidate;
            candidate.m_job = &job;
            candidate.m_queue = &queue->second;
            candidate.m_occurrence = number;
            candidate.m_step = step;
            candidate.m_state = &state;
            candidate.m_spec = &job.m_spec.m_steps[step];
            candidate.m_dueMs = objectiveDeadline(job, occurrence, queue->second);
            classify(scheduler, occurrence, wall, candidate);
            candidates.push_back(candidate);
        }
    }
}

auto isBefore(const StartCandidate& left, const StartCandidate& right) -> bool
{
    return std::tuple(left.m_queue->m_priority, left.m_class, left.m_order, left.m_job->m_spec.m_id, left.m_step,
               left.m_occurrence)
        < std::tuple(right.m_queue->m_priority, right.m_class, right.m_order, right.m_job->m_spec.m_id, right.m_step,
            right.m_occurrence);
}

auto hasTicket(const StartCandidate& candidate, const Executor& executor, ExecutorIndex index) -> bool
{
    return !candidate.m_queue->m_needsAdvice || !ticketFor(candidate.m_state->m_advice, executor, index).empty();
}

// Whether a task that needs no more than this found no executor earlier in this plan.
auto isKnownUnmet(const Pool& pool, const StepSpec& spec, const Resources& need) -> bool
{
    return std::any_of(pool.m_unmetNeeds.begin(), pool.m_unmetNeeds.end(), [&](const UnmetNeed& unmet) {
        return (unmet.m_label.empty() || unmet.m_label == spec.m_requiredLabel)
            && fitsWithin(unmet.m_resources, {}, need);
    });
}

auto hasRoom(const StartCandidate& candidate, const Executor& executor, ExecutorIndex index, const Resources& planned)
    -> bool
{
    const auto& spec = *candidate.m_spec;
    auto used = executor.m_used;
    addTo(used, planned);
    if (!fitsWithin(requiredResources(spec), used, executor.m_entry.m_capacity))
        return false;
    if (!hasLabel(executor.m_entry.m_labels, spec.m_requiredLabel))
        return false;
    const auto runsOnExecutor = candidate.m_state->m_runsByExecutor.find(index);
    if (spec.m_perExecutorLimit > 0 && runsOnExecutor != candidate.m_state->m_runsByExecutor.end()
        && runsOnExecutor->second >= spec.m_perExecutorLimit)
        return false;
    return true;
}

auto canHold(const StartCandidate& candidate, const Executor& executor, ExecutorIndex index, const Resources& planned)
    -> bool
{
    return hasRoom(candidate, executor, index, planned) && hasTicket(candidate, executor, index);
}

auto chooseExecutor(const Scheduler& scheduler, const StartCandidate& candidate, const TaskState& task,
    const Pool& pool, Instant now) -> std::optional<ExecutorIndex>
{
    std::optional<ExecutorIndex> best;
    PlacementRank bestRank;
    for (const auto index : pool.m_schedulable) {
        const auto& executor = *scheduler.m_executors[index];
        const auto hasRun = std::any_of(
            task.m_runs.begin(), task.m_runs.end(), [&](const TaskRun& run) { return run.m_executor == index; });
        if (hasRun || !canHold(candidate, executor, index, {}))
            continue;
        const auto rank = rankPlacement(scheduler, candidate, task, index, now);
        if (!best || rank < bestRank) {
            best = index;
            bestRank = rank;
        }
    }
    return best;
}

// At most half of a pool's executors are closed for trials.
auto mayBeginTrial(const Pool& pool) -> bool
{
    return pool.m_trials < std::max<std::size_t>(pool.m_schedulable.size(), 1);
}

// Chooses the executor on which a crash would end the least other work.
auto chooseForTrial(Scheduler& scheduler, const StartCandidate& candidate, const TaskState& task, const Pool& pool,
    Instant now) -> std::optional<ExecutorIndex>
{
    std::optional<ExecutorIndex> best;
    std::tuple<bool, std::uint32_t, std::size_t> leastWork;
    for (const auto index : pool.m_schedulable) {
        const auto& executor = *scheduler.m_executors[index];
        const auto hasRun = std::any_of(
            task.m_runs.begin(), task.m_runs.end(), [&](const TaskRun& run) { return run.m_executor == index; });
        const auto hasFailed
            = std::find(task.m_failedOn.begin(), task.m_failedOn.end(), index) != task.m_failedOn.end();
        const std::tuple work(hasFailed, executor.m_activeLongRunningRuns, executor.m_runs.size());
        if ((best && work >= leastWork) || hasRun || !canHold(candidate, executor, index, {})
            || hasRecentStart(scheduler, index, now))
            continue;
        best = index;
        leastWork = work;
    }
    return best;
}

// Closes an executor for other starts while a run is on trial there.
auto beginTrial(Scheduler& scheduler, Pool& pool, ExecutorIndex index, const ExecutorRun& run) -> void
{
    scheduler.m_executors[index]->m_trial = run;
    std::erase(pool.m_schedulable, index);
    ++pool.m_trials;
}

auto emitStart(Scheduler& scheduler, const StartCandidate& candidate, std::uint32_t index, std::uint32_t run,
    ExecutorIndex executor, Instant now, std::vector<Action>& actions) -> void
{
    const TaskKey key { candidate.m_job->m_spec.m_id, candidate.m_occurrence, candidate.m_step, index };
    noteStartDecided(scheduler, addRun(scheduler, key, run, executor, RunPhase::Starting, now));
    Action action;
    action.m_executor = executor;
    action.m_task = key;
    action.m_run = run;
    action.m_reason = candidate.m_class == CandidateClass::LongRunning ? "lasting"
        : candidate.m_class == CandidateClass::InTime                  ? "in time"
                                                                       : "late";
    if (candidate.m_queue->m_needsAdvice)
        action.m_ticket = ticketFor(candidate.m_state->m_advice, *scheduler.m_executors[executor], executor);
    actions.push_back(std::move(action));
}

// Asks about all executors without a verdict while there is no ticket, and about those with room afterwards.
auto requestAdvice(const Scheduler& scheduler, const StartCandidate& candidate, const Pool& pool, Instant now,
    std::vector<Action>& actions) -> void
{
    auto& advice = candidate.m_state->m_advice;
    if (!advice.m_asked.empty() || advice.m_nextRequestAt > now)
        return;
    std::vector<ExecutorIndex> preferred;
    std::vector<ExecutorIndex> others;
    for (const auto index : pool.m_schedulable) {
        if (hasRoom(candidate, *scheduler.m_executors[index], index, {}))
            preferred.push_back(index);
        else if (!hasTickets(advice))
            others.push_back(index);
    }
    const auto chosen = executorsToAsk(scheduler, advice, preferred, others);
    if (chosen.empty())
        return;
    Action action;
    action.m_kind = ActionKind::AskAdvice;
    action.m_task = { candidate.m_job->m_spec.m_id, candidate.m_occurrence, candidate.m_step, 0 };
    for (const auto index : chosen)
        action.m_candidates.push_back(scheduler.m_executors[index]->m_entry.m_id);
    noteAdviceRequested(scheduler, advice, chosen);
    actions.push_back(std::move(action));
}

// Whether a task waits for nothing but an executor on which it may run.
auto awaitsExecutor(Scheduler& scheduler, const StartCandidate& candidate, Instant now) -> bool
{
    const auto& spec = *candidate.m_spec;
    const auto members = spec.m_isGang ? static_cast<std::uint32_t>(candidate.m_state->m_tasks.size()) : 1;
    if (!mayDecideStart(scheduler, candidate.m_queue->m_service)
        || !isWithinLimit(scheduler, candidate.m_job->m_spec.m_workspace, spec.m_perTask, members))
        return false;
    for (const auto& task : candidate.m_state->m_tasks) {
        if (needsRun(scheduler, spec, task, now) && !isHeldBack(scheduler, task)
            && !awaitsLimit(scheduler, *candidate.m_job, *candidate.m_state, task))
            return true;
    }
    return false;
}

// Chooses executors for all members of a gang, only on the given rack if there is one; empty if they do not all fit.
auto placeGang(Scheduler& scheduler, const StartCandidate& candidate, const Pool& pool,
    const std::optional<std::string>& rack, bool isOnTrial, Instant now) -> std::vector<ExecutorIndex>
{
    std::vector<ExecutorIndex> chosen;
    std::map<ExecutorIndex, std::uint32_t> counts;
    const auto members = candidate.m_state->m_tasks.size();
    for (const auto index : pool.m_schedulable) {
        const auto& executor = *scheduler.m_executors[index];
        if ((rack && executor.m_rack != *rack) || (isOnTrial && hasRecentStart(scheduler, index, now)))
            continue;
        Resources planned;
        while (chosen.size() < members && canHold(candidate, executor, index, planned)) {
            const auto limit = candidate.m_spec->m_perExecutorLimit;
            if (limit > 0 && counts[index] >= limit)
                break;
            chosen.push_back(index);
            ++counts[index];
            addTo(planned, requiredResources(*candidate.m_spec));
        }
    }
    return chosen.size() == members ? chosen : std::vector<ExecutorIndex> {};
}

auto startGang(Scheduler& scheduler, const StartCandidate& candidate, Pool& pool, Instant now,
    std::vector<Action>& actions) -> void
{
    auto& tasks = candidate.m_state->m_tasks;
    const auto isWaiting = std::all_of(
        tasks.begin(), tasks.end(), [](const TaskState& task) { return task.m_runs.empty() && !task.m_isDone; });
    const auto isBarred = std::any_of(tasks.begin(), tasks.end(), [&](const TaskState& task) {
        return isHeldBack(scheduler, task) || awaitsLimit(scheduler, *candidate.m_job, *candidate.m_state, task);
    });
    if (!isWaiting || isBarred
        || !isWithinLimit(scheduler, candidate.m_job->m_spec.m_workspace, candidate.m_spec->m_perTask,
            static_cast<std::uint32_t>(tasks.size())))
        return;
    const auto isOnTrial
        = std::any_of(tasks.begin(), tasks.end(), [&](const TaskState& task) { return needsTrial(scheduler, task); });
    if (isOnTrial && !mayBeginTrial(pool))
        return;
    std::vector<ExecutorIndex> chosen;
    std::set<std::string> racks;
    for (const auto index : pool.m_schedulable)
        racks.insert(scheduler.m_executors[index]->m_rack);
    for (auto rack = racks.begin(); chosen.empty() && rack != racks.end(); ++rack)
        chosen = placeGang(scheduler, candidate, pool, *rack, isOnTrial, now);
    if (chosen.empty())
        chosen = placeGang(scheduler, candidate, pool, std::nullopt, isOnTrial, now);
    if (chosen.empty())
        return;
    // All members get the same run number and resume from the same checkpoint.
    std::uint32_t run = 0;
    std::string checkpoint;
    for (const auto& task : tasks) {
        run = std::max(run, task.m_highestRun);
        checkpoint = std::max(checkpoint, task.m_checkpoint);
    }
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        tasks.edit(index).m_checkpoint = checkpoint;
        emitStart(scheduler, candidate, index, run + 1, chosen[index], now, actions);
        if (isOnTrial && !scheduler.m_executors[chosen[index]]->m_trial)
            beginTrial(scheduler, pool, chosen[index], { actions.back().m_task, actions.back().m_run });
    }
}

auto startOnTrial(Scheduler& scheduler, const StartCandidate& candidate, std::uint32_t index, Pool& pool, Instant now,
    std::vector<Action>& actions) -> void
{
    const auto& task = candidate.m_state->m_tasks[index];
    if (!mayBeginTrial(pool))
        return;
    const auto executor = chooseForTrial(scheduler, candidate, task, pool, now);
    if (!executor)
        return;
    emitStart(scheduler, candidate, index, task.m_highestRun + 1, *executor, now, actions);
    beginTrial(scheduler, pool, *executor, { actions.back().m_task, actions.back().m_run });
}

auto startTasks(Scheduler& scheduler, const StartCandidate& candidate, Pool& pool, Instant now,
    std::vector<Action>& actions) -> void
{
    const auto& spec = *candidate.m_spec;
    const auto need = requiredResources(spec);
    if (isKnownUnmet(pool, spec, need))
        return;
    // Whether the resources and the label alone decide if an executor can hold a task of the step.
    const auto dependsOnNeedOnly
        = spec.m_perExecutorLimit == 0 && !candidate.m_queue->m_needsAdvice && !spec.m_allowsDuplicates;
    for (std::uint32_t index = 0; index < candidate.m_state->m_tasks.size(); ++index) {
        const auto& task = candidate.m_state->m_tasks[index];
        if (!needsRun(scheduler, *candidate.m_spec, task, now) || isHeldBack(scheduler, task)
            || awaitsLimit(scheduler, *candidate.m_job, *candidate.m_state, task))
            continue;
        if (!mayDecideStart(scheduler, candidate.m_queue->m_service)
            || !isWithinLimit(scheduler, candidate.m_job->m_spec.m_workspace, candidate.m_spec->m_perTask, 1))
            return;
        if (needsTrial(scheduler, task)) {
            startOnTrial(scheduler, candidate, index, pool, now, actions);
            continue;
        }
        const auto executor = chooseExecutor(scheduler, candidate, task, pool, now);
        if (!executor) {
            if (dependsOnNeedOnly)
                pool.m_unmetNeeds.push_back({ spec.m_requiredLabel, need });
            return;
        }
        emitStart(scheduler, candidate, index, task.m_highestRun + 1, *executor, now, actions);
    }
}

auto startStep(Scheduler& scheduler, const StartCandidate& candidate, Pool& pool, Instant now,
    std::vector<Action>& actions) -> void
{
    auto& advice = candidate.m_state->m_advice;
    if (candidate.m_queue->m_needsAdvice) {
        expireTickets(advice, now);
        if (!hasTickets(advice)) {
            requestAdvice(scheduler, candidate, pool, now, actions);
            return;
        }
    }
    if (candidate.m_spec->m_isGang)
        startGang(scheduler, candidate, pool, now, actions);
    else
        startTasks(scheduler, candidate, pool, now, actions);
    if (candidate.m_queue->m_needsAdvice && awaitsExecutor(scheduler, candidate, now))
        requestAdvice(scheduler, candidate, pool, now, actions);
}

// Number of further executors that the waiting tasks of a step need, since none of the present ones can hold them.
// Long-running tasks with a limit for each executor need all of theirs, because they keep their places. Short tasks
// make room for one another while one executor joins.
auto executorsWanted(const StepSpec& spec, std::uint32_t waitingTasks) -> std::uint32_t
{
    if (!spec.m_isLongRunning || spec.m_perExecutorLimit == 0)
        return 1;
    return (waitingTasks + spec.m_perExecutorLimit - 1) / spec.m_perExecutorLimit;
}

// Tasks beyond a workspace's limit are not counted: more machines would not start them.
auto addStep(PoolDemand& demand, const Scheduler& scheduler, const Job& job, const Occurrence& occurrence,
    std::size_t step) -> void
{
    const auto& spec = job.m_spec.m_steps[step];
    const auto need = requiredResources(spec).m_cpuMilliCores;
    const auto isOpen = isStepReady(spec, occurrence);
    const auto mayStart = isOpen && isWithinLimit(scheduler, job.m_spec.m_workspace, spec.m_perTask, 1);
    std::uint32_t waitingTasks = 0;
    for (const auto& task : occurrence.m_steps[step].m_tasks) {
        if (task.m_isDone)
            continue;
        if (!task.m_runs.empty())
            demand.m_runningMilliCores += need;
        else if (mayStart)
            ++waitingTasks;
        else if (!isOpen)
            demand.m_blockedMilliCores += need;
    }
    while (waitingTasks > 0 && !isWithinLimit(scheduler, job.m_spec.m_workspace, spec.m_perTask, waitingTasks))
        --waitingTasks;
    if (waitingTasks == 0)
        return;
    demand.m_waitingMilliCores += need * waitingTasks;
    // Steps can share the executors, so the step with the most waiting tasks decides.
    auto& wanted = demand.m_executorsWanted[spec.m_requiredLabel];
    wanted = std::max(wanted, executorsWanted(spec, waitingTasks));
}

} // namespace

auto planStartsByFullScan(Scheduler& scheduler, Instant now, WallMillis wall, std::vector<Action>& actions) -> void
{
    std::vector<StartCandidate> candidates;
    for (const auto id : scheduler.m_active)
        collectFromJob(scheduler, *scheduler.m_jobs.at(id), now, wall, candidates);
    if (candidates.empty())
        return;
    auto pools = schedulablePools(scheduler, now);
    std::sort(candidates.begin(), candidates.end(), isBefore);
    for (const auto& candidate : candidates) {
        if (!mayDecideStart(scheduler, candidate.m_queue->m_service))
            continue;
        const auto pool = pools.find(candidate.m_queue->m_service);
        if (pool != pools.end())
            startStep(scheduler, candidate, pool->second, now, actions);
    }
}

auto planStopsByFullScan(Scheduler& scheduler, Instant now, std::vector<Action>& actions) -> void
{
    for (const auto index : scheduler.m_activeExecutors) {
        for (const auto& item : scheduler.m_executors[index]->m_runs) {
            auto* run = findRun(scheduler, item.m_task, item.m_run, index);
            if (run == nullptr || run->m_phase != RunPhase::Stopping || run->m_nextActionAt > now)
                continue;
            if (run->m_stopAnsweredAt)
                continue;
            run->m_nextActionAt = now + scheduler.m_timing.m_stopRetryInterval;
            actions.push_back({ ActionKind::Stop, index, item.m_task, item.m_run, 100, {}, {}, "not needed" });
        }
    }
}

auto retireJobsByFullScan(Scheduler& scheduler) -> void
{
    std::erase_if(scheduler.m_active, [&](JobId id) {
        const auto& job = *scheduler.m_jobs.at(id);
        if (!isFinal(job.m_phase))
            return false;
        for (const auto& [number, occurrence] : job.m_occurrences) {
            for (const auto& step : occurrence.m_steps) {
                if (!step.m_runsByExecutor.empty())
                    return false;
            }
        }
        return true;
    });
}

auto measureTasksByFullScan(const Scheduler& scheduler) -> std::map<std::string, PoolDemand>
{
    std::map<std::string, PoolDemand> demands;
    for (const auto id : scheduler.m_active) {
        const auto& job = *scheduler.m_jobs.at(id);
        const auto queue = scheduler.m_rules.m_queues.find(job.m_spec.m_queue);
        if (isFinal(job.m_phase) || queue == scheduler.m_rules.m_queues.end())
            continue;
        auto& demand = demands[queue->second.m_service];
        for (const auto& [number, occurrence] : job.m_occurrences) {
            for (std::size_t step = 0; !occurrence.m_isDone && step < occurrence.m_steps.size(); ++step)
                addStep(demand, scheduler, job, occurrence, step);
        }
    }
    return demands;
}

} // namespace hemlockvane::scheduling
