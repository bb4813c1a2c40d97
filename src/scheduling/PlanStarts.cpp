#include "hemlockvane/scheduling/PlanStarts.h"

#include "hemlockvane/scheduling/AttemptLimits.h"
#include "hemlockvane/scheduling/BlameCrashes.h"
#include "hemlockvane/scheduling/CheckFit.h"
#include "hemlockvane/scheduling/IndexRoom.h"
#include "hemlockvane/scheduling/MeasureStartDelay.h"
#include "hemlockvane/scheduling/OrderCandidates.h"
#include "hemlockvane/scheduling/RankPlacement.h"
#include "hemlockvane/scheduling/RequestAdvice.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/ShareRoom.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"
#include "hemlockvane/scheduling/WorkspaceLimits.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <tuple>
#include <utility>

namespace hemlockvane::scheduling {

namespace {

// Whether steps of workspaces beyond their share of a contended pool may be started.
enum class ShareUse : std::uint8_t {
    WithinShare,
    Any,
};

auto mayUseRoom(Scheduler& scheduler, const StartCandidate& candidate, ShareUse use) -> bool
{
    return use == ShareUse::Any || candidate.m_class == CandidateClass::LongRunning
        || hasShareLeft(findShare(scheduler, candidate));
}

auto hasRoom(const StartCandidate& candidate, const Executor& executor, ExecutorIndex index, const Resources& planned)
    -> bool
{
    return obstacleToRoom(candidate, executor, index, planned).empty();
}

auto canHold(const StartCandidate& candidate, const Executor& executor, ExecutorIndex index, const Resources& planned)
    -> bool
{
    return hasRoom(candidate, executor, index, planned) && hasTicket(candidate, executor, index);
}

auto hasRunOn(const TaskState& task, ExecutorIndex index) -> bool
{
    return std::any_of(
        task.m_runs.begin(), task.m_runs.end(), [&](const TaskRun& run) { return run.m_executor == index; });
}

// Executors of one capacity with enough free processor, the fullest first.
auto roomsFor(const StartCandidate& candidate, std::int64_t capacity, const std::vector<ExecutorRoom>& rooms)
    -> std::span<const ExecutorRoom>
{
    const ExecutorRoom fullest { candidate.m_need.m_cpuMilliCores - capacity, 0, 0 };
    return { std::lower_bound(rooms.begin(), rooms.end(), fullest, isFuller), rooms.end() };
}

// A task that ends by itself prefers the fullest of the executors that differ in nothing else.
auto isBestOfRest(const StartCandidate& candidate, const PlacementRank& rank) -> bool
{
    const auto& [hasFailed, isFar, isAvoided, isCrowded, isFirst, harm, load] = rank;
    return !candidate.m_spec->m_isLongRunning && !hasFailed && !isFar && !isAvoided && harm == 0;
}

auto chooseExecutor(const Scheduler& scheduler, const StartCandidate& candidate, const TaskState& task,
    const StartPool& pool, Instant now) -> std::optional<ExecutorIndex>
{
    std::optional<ExecutorIndex> best;
    std::pair<PlacementRank, std::uint64_t> bestRank;
    for (const auto& [capacity, rooms] : pool.m_rooms) {
        for (const auto& room : roomsFor(candidate, capacity, rooms)) {
            const auto& executor = *scheduler.m_executors[room.m_index];
            if (hasRunOn(task, room.m_index) || !canHold(candidate, executor, room.m_index, {}))
                continue;
            const std::pair rank(rankPlacement(scheduler, candidate, task, room.m_index, now), room.m_activation);
            if (!best || rank < bestRank) {
                best = room.m_index;
                bestRank = rank;
            }
            if (isBestOfRest(candidate, rank.first))
                break;
        }
    }
    return best;
}

// At most half of a pool's executors are closed for trials.
auto mayBeginTrial(const StartPool& pool) -> bool
{
    return pool.m_trials < std::max<std::size_t>(pool.m_openExecutors, 1);
}

// Chooses the executor on which a crash would end the least other work, one of those that have not crashed under the
// task if there is one: a second crash of the same executor would not tell whether it or the task is to blame.
auto chooseForTrial(Scheduler& scheduler, const StartCandidate& candidate, const TaskState& task, Instant now)
    -> std::optional<ExecutorIndex>
{
    std::optional<ExecutorIndex> best;
    std::tuple<bool, std::uint32_t, std::size_t> leastWork;
    for (const auto index : openExecutors(scheduler, candidate.m_pool)) {
        const auto& executor = *scheduler.m_executors[index];
        const auto hasFailed
            = std::find(task.m_failedOn.begin(), task.m_failedOn.end(), index) != task.m_failedOn.end();
        const std::tuple work(hasFailed, executor.m_activeLongRunningRuns, executor.m_runs.size());
        if ((best && work >= leastWork) || hasRunOn(task, index) || !canHold(candidate, executor, index, {})
            || hasRecentStart(scheduler, index, now))
            continue;
        best = index;
        leastWork = work;
    }
    return best;
}

// Closes an executor for other starts while a run is on trial there.
auto beginTrial(Scheduler& scheduler, ExecutorIndex index, const ExecutorRun& run, Instant now) -> void
{
    scheduler.m_executors[index]->m_trial = run;
    refreshExecutor(scheduler, index, now);
}

auto emitStart(Scheduler& scheduler, const StartCandidate& candidate, std::uint32_t index, std::uint32_t run,
    ExecutorIndex executor, Instant now, std::vector<Action>& actions) -> void
{
    const TaskKey key { candidate.m_job->m_spec.m_id, candidate.m_occurrence, candidate.m_step, index };
    noteStartDecided(scheduler, addRun(scheduler, key, run, executor, RunPhase::Starting, now));
    refreshExecutor(scheduler, executor, now);
    useShare(scheduler, candidate);
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

auto emitRequest(const Scheduler& scheduler, const StartCandidate& candidate, std::span<const ExecutorIndex> executors,
    std::vector<Action>& actions) -> void
{
    Action action;
    action.m_kind = ActionKind::AskAdvice;
    action.m_task = { candidate.m_job->m_spec.m_id, candidate.m_occurrence, candidate.m_step, 0 };
    for (const auto index : executors)
        action.m_candidates.push_back(scheduler.m_executors[index]->m_entry.m_id);
    noteAdviceRequested(scheduler, candidate.m_state->m_advice, executors);
    actions.push_back(std::move(action));
}

// Asks about executors that may hold a task of the step as far as is known, those with room first.
auto requestAdvice(const Scheduler& scheduler, StartCandidate& candidate, Instant now, std::vector<Action>& actions)
    -> void
{
    const auto& advice = candidate.m_state->m_advice;
    const auto& pool = scheduler.m_starts.m_pools[candidate.m_pool];
    if (!advice.m_asked.empty() || advice.m_nextRequestAt > now || candidate.m_nothingToAskAt == pool.m_version)
        return;
    std::vector<ExecutorIndex> withRoom;
    std::vector<ExecutorIndex> full;
    for (const auto index : openExecutors(scheduler, candidate.m_pool))
        (hasRoom(candidate, *scheduler.m_executors[index], index, {}) ? withRoom : full).push_back(index);
    // Those without room are asked about only while there is no ticket at all.
    if (hasTickets(advice))
        full.clear();
    const auto chosen = executorsToAsk(scheduler, advice, withRoom, full);
    if (chosen.empty())
        candidate.m_nothingToAskAt = pool.m_version;
    else
        emitRequest(scheduler, candidate, chosen, actions);
}

// Number of members of a gang that an executor can hold.
auto membersOn(const StartCandidate& candidate, const Executor& executor, ExecutorIndex index) -> std::size_t
{
    const std::size_t limit = candidate.m_spec->m_perExecutorLimit;
    const auto most = std::min(candidate.m_state->m_tasks.size(), limit > 0 ? limit : SIZE_MAX);
    std::size_t members = 0;
    for (Resources planned; members < most && canHold(candidate, executor, index, planned); ++members)
        addTo(planned, candidate.m_need);
    return members;
}

// Chooses executors for all members of a gang, if possible on one rack; empty if they do not all fit.
auto placeGang(Scheduler& scheduler, const StartCandidate& candidate, bool isOnTrial, Instant now)
    -> std::vector<ExecutorIndex>
{
    const auto members = candidate.m_state->m_tasks.size();
    const auto add = [&](std::vector<ExecutorIndex>& chosen, ExecutorIndex index, std::size_t count) {
        chosen.insert(chosen.end(), std::min(count, members - chosen.size()), index);
    };
    std::vector<ExecutorIndex> anywhere;
    std::map<std::string_view, std::vector<ExecutorIndex>> byRack;
    for (const auto index : openExecutors(scheduler, candidate.m_pool)) {
        const auto& executor = *scheduler.m_executors[index];
        if (isOnTrial && hasRecentStart(scheduler, index, now))
            continue;
        const auto count = membersOn(candidate, executor, index);
        if (count == 0)
            continue;
        add(anywhere, index, count);
        add(byRack[executor.m_rack], index, count);
    }
    for (auto& [rack, chosen] : byRack) {
        if (chosen.size() == members)
            return chosen;
    }
    return anywhere.size() == members ? anywhere : std::vector<ExecutorIndex> {};
}

auto startGang(Scheduler& scheduler, StartCandidate& candidate, const StartPool& pool, Instant now,
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
    const auto chosen = placeGang(scheduler, candidate, isOnTrial, now);
    if (chosen.empty()) {
        if (!isOnTrial)
            candidate.m_blockedAt = pool.m_version;
        return;
    }
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
            beginTrial(scheduler, chosen[index], { actions.back().m_task, actions.back().m_run }, now);
    }
}

auto startOnTrial(Scheduler& scheduler, const StartCandidate& candidate, std::uint32_t index, const StartPool& pool,
    Instant now, std::vector<Action>& actions) -> void
{
    const auto& task = candidate.m_state->m_tasks[index];
    if (!mayBeginTrial(pool))
        return;
    const auto executor = chooseForTrial(scheduler, candidate, task, now);
    if (!executor)
        return;
    emitStart(scheduler, candidate, index, task.m_highestRun + 1, *executor, now, actions);
    beginTrial(scheduler, *executor, { actions.back().m_task, actions.back().m_run }, now);
}

auto startTasks(Scheduler& scheduler, StartCandidate& candidate, const StartPool& pool, ShareUse use, Instant now,
    std::vector<Action>& actions) -> void
{
    for (std::uint32_t index = 0; index < candidate.m_state->m_tasks.size(); ++index) {
        const auto& task = candidate.m_state->m_tasks[index];
        if (!needsRun(scheduler, *candidate.m_spec, task, now) || isHeldBack(scheduler, task)
            || awaitsLimit(scheduler, *candidate.m_job, *candidate.m_state, task))
            continue;
        if (!mayDecideStart(scheduler, candidate.m_queue->m_service) || !mayUseRoom(scheduler, candidate, use)
            || !isWithinLimit(scheduler, candidate.m_job->m_spec.m_workspace, candidate.m_spec->m_perTask, 1))
            return;
        if (needsTrial(scheduler, task)) {
            startOnTrial(scheduler, candidate, index, pool, now, actions);
            continue;
        }
        const auto executor = chooseExecutor(scheduler, candidate, task, pool, now);
        if (!executor) {
            // No other task of the step can be held either, since a task without runs may start on any executor.
            if (task.m_runs.empty())
                candidate.m_blockedAt = pool.m_version;
            return;
        }
        emitStart(scheduler, candidate, index, task.m_highestRun + 1, *executor, now, actions);
    }
}

// Whether a task of the step waits for nothing but an executor on which it may run.
auto awaitsExecutor(Scheduler& scheduler, const StartCandidate& candidate, Instant now) -> bool
{
    const auto& tasks = candidate.m_state->m_tasks;
    const auto members = candidate.m_spec->m_isGang ? tasks.size() : 1;
    return mayDecideStart(scheduler, candidate.m_queue->m_service)
        && isWithinLimit(scheduler, candidate.m_job->m_spec.m_workspace, candidate.m_spec->m_perTask,
            static_cast<std::uint32_t>(members))
        && std::any_of(tasks.begin(), tasks.end(), [&](const TaskState& task) {
               return needsRun(scheduler, *candidate.m_spec, task, now) && !isHeldBack(scheduler, task)
                   && !awaitsLimit(scheduler, *candidate.m_job, *candidate.m_state, task);
           });
}

auto startStep(Scheduler& scheduler, StartCandidate& candidate, ShareUse use, Instant now, std::vector<Action>& actions)
    -> void
{
    if (!mayUseRoom(scheduler, candidate, use))
        return;
    auto& pool = scheduler.m_starts.m_pools[candidate.m_pool];
    const auto needsAdvice = candidate.m_queue->m_needsAdvice;
    if (needsAdvice && expireTickets(candidate.m_state->m_advice, now))
        candidate.m_nothingToAskAt = 0;
    if (needsAdvice && !hasTickets(candidate.m_state->m_advice)) {
        requestAdvice(scheduler, candidate, now, actions);
        return;
    }
    if (candidate.m_need.m_cpuMilliCores > largestFreeCpu(pool))
        return;
    if (candidate.m_blockedAt != pool.m_version && candidate.m_spec->m_isGang)
        startGang(scheduler, candidate, pool, now, actions);
    else if (candidate.m_blockedAt != pool.m_version)
        startTasks(scheduler, candidate, pool, use, now, actions);
    if (needsAdvice && awaitsExecutor(scheduler, candidate, now))
        requestAdvice(scheduler, candidate, now, actions);
}

auto startSteps(Scheduler& scheduler, std::span<StartCandidate> candidates, ShareUse use, Instant now,
    std::vector<Action>& actions) -> void
{
    for (auto& candidate : candidates) {
        if (mayDecideStart(scheduler, candidate.m_queue->m_service))
            startStep(scheduler, candidate, use, now, actions);
    }
}

// The candidates at the begin that have one priority, and of these the ones that come before late jobs.
auto countOfPriority(std::span<const StartCandidate> candidates, CandidateClass last) -> std::size_t
{
    const auto end = std::find_if(candidates.begin(), candidates.end(), [&](const StartCandidate& candidate) {
        return candidate.m_priority != candidates.front().m_priority || candidate.m_class > last;
    });
    return static_cast<std::size_t>(end - candidates.begin());
}

// Of each priority, steps that can still be done in time or have begun come first if their workspace is within its
// share, then the rest in the usual order: a share is no reason to serve what is too late before what is not.
auto startByShares(Scheduler& scheduler, Instant now, std::vector<Action>& actions) -> void
{
    std::span<StartCandidate> rest(scheduler.m_starts.m_candidates);
    while (!rest.empty()) {
        const auto ofPriority = rest.first(countOfPriority(rest, CandidateClass::Lapsed));
        const auto timely = ofPriority.first(countOfPriority(ofPriority, CandidateClass::LateBegun));
        startSteps(scheduler, timely, ShareUse::WithinShare, now, actions);
        startSteps(scheduler, ofPriority, ShareUse::Any, now, actions);
        rest = rest.subspan(ofPriority.size());
    }
}

} // namespace

auto planStarts(Scheduler& scheduler, Instant now, WallMillis wall, std::vector<Action>& actions) -> void
{
    refreshPools(scheduler, now);
    refreshCandidates(scheduler, now, wall);
    scheduler.m_contendedPools.clear();
    if (scheduler.m_sharesPools)
        scheduler.m_contendedPools = findContendedPools(scheduler);
    if (scheduler.m_contendedPools.empty())
        startSteps(scheduler, scheduler.m_starts.m_candidates, ShareUse::Any, now, actions);
    else
        startByShares(scheduler, now, actions);
}

} // namespace hemlockvane::scheduling
