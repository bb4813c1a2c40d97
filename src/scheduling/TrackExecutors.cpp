#include "hemlockvane/scheduling/TrackExecutors.h"

#include "hemlockvane/scheduling/BlameCrashes.h"
#include "hemlockvane/scheduling/ExecutorClock.h"
#include "hemlockvane/scheduling/IndexRoom.h"
#include "hemlockvane/scheduling/Labels.h"
#include "hemlockvane/scheduling/MeasureStartDelay.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <algorithm>
#include <optional>
#include <span>

namespace hemlockvane::scheduling {

namespace {

// For executors that do not check their capacity: shorter than the time after which a smaller capacity binds.
constexpr Duration capacityValidity { 2000 };

auto rackOf(const ExecutorEntry& entry) -> std::string
{
    // The labels are the kind and the rack, in this order.
    return entry.m_labels.size() > 1 ? entry.m_labels.back() : std::string();
}

auto presentLife(const Executor& executor) -> EndedLife
{
    return { .m_lostSince = executor.m_lostSince, .m_isCrash = isCrash(executor), .m_noticedAt = {} };
}

// Removes runs that were lost with their executor or with their lease.
auto loseRuns(Scheduler& scheduler, ExecutorIndex index, std::span<const ExecutorRun> runs, const EndedLife& life,
    bool isCrashCertain, DropReason reason, Instant now) -> std::size_t
{
    blameCrash(scheduler, index, runs, life, isCrashCertain);
    for (const auto& item : runs) {
        const auto* run = findRun(scheduler, item.m_task, item.m_run, index);
        const auto& task = *findTask(scheduler, item.m_task);
        scheduler.m_lostRuns.push_back(
            { item.m_task, item.m_run, index, now - run->m_orderedAt, task.m_crashes, task.m_possibleCrashes });
        dropRun(scheduler, item.m_task, item.m_run, index, reason, now);
    }
    return runs.size();
}

// Latest time at which a request to start the run may be carried out; `now` if each one was answered.
auto latestStart(const SchedulerTiming& timing, const TaskRun& run, Instant now) -> Instant
{
    const auto unanswered = run.m_isConfirmed ? run.m_unansweredAt : std::max(run.m_unansweredAt, run.m_sentAt);
    return unanswered ? std::max(*unanswered + timing.m_latestArrival, now) : now;
}

// Whether the start of a run may have reached the life of its executor that follows, or may do so: it names the
// executor, but not its life. A start that was not sent is not sent to another life any more.
auto mayBeOnNextLife(const SchedulerTiming& timing, const TaskRun& run, Instant now) -> bool
{
    return run.m_sentAt.has_value() && (!run.m_isReported || latestStart(timing, run, now) > now);
}

// The next life has neither listed a run that may have been started there nor seen a stop of it.
auto keepForNextLife(Scheduler& scheduler, TaskRun& run, Instant now) -> void
{
    if (run.m_isReported)
        run.m_startAnsweredAt = run.m_startAnsweredAt.value_or(now);
    run.m_isReported = false;
    run.m_stopAnsweredAt.reset();
    run.m_wasStopSent = false;
    run.m_nextActionAt = {};
    if (run.m_phase == RunPhase::Stopping)
        stopRun(scheduler, run);
}

// Removes the runs that certainly ended with the executor's present life. The others are kept until the next life has
// listed its runs.
auto endLife(Scheduler& scheduler, ExecutorIndex index, Instant now) -> void
{
    auto& executor = *scheduler.m_executors[index];
    std::vector<ExecutorRun> lost;
    std::vector<ExecutorRun> kept;
    for (const auto& item : executor.m_runs) {
        auto& run = *findRun(scheduler, item.m_task, item.m_run, index);
        (mayBeOnNextLife(scheduler.m_timing, run, now) ? kept : lost).push_back(item);
    }
    auto life = presentLife(executor);
    life.m_noticedAt = now;
    const auto areLostSuspected = hasSuspects(scheduler, index, lost, life.m_lostSince);
    life.m_hasOtherSuspects = hasSuspects(scheduler, index, kept, life.m_lostSince);
    loseRuns(scheduler, index, lost, life, true, DropReason::NewLife, now);
    if (kept.empty())
        return;
    life.m_hasOtherSuspects = areLostSuspected;
    executor.m_endedLife = life;
    for (const auto& item : kept) {
        auto& run = *findRun(scheduler, item.m_task, item.m_run, index);
        expectEarlierLease(scheduler.m_timing, executor, latestStart(scheduler.m_timing, run, now));
        keepForNextLife(scheduler, run, now);
    }
}

// The answer shows that such requests are refused from now on.
auto boundEarlierLease(const SchedulerTiming& timing, Executor& executor, const ExecutorReport& report, Instant now)
    -> void
{
    if (!executor.m_mayHoldEarlierLease)
        return;
    executor.m_earlierLeasesExpireBy = now;
    executor.m_earlierLeaseUntilMs = report.m_clockMs + timing.m_longestHold.count();
    executor.m_leaseUntilMs = std::max(executor.m_leaseUntilMs, executor.m_earlierLeaseUntilMs);
}

// Stops runs that reached a life of another kind than the one for which they were planned.
auto stopMisplacedRuns(Scheduler& scheduler, ExecutorIndex index) -> void
{
    const auto& entry = scheduler.m_executors[index]->m_entry;
    for (const auto& item : scheduler.m_executors[index]->m_runs) {
        const auto& spec = findJob(scheduler, item.m_task.m_job)->m_spec;
        const auto queue = scheduler.m_rules.m_queues.find(spec.m_queue);
        const auto isOfService
            = queue == scheduler.m_rules.m_queues.end() || queue->second.m_service == entry.m_service;
        if (!isOfService || !hasLabel(entry.m_labels, spec.m_steps[item.m_task.m_step].m_requiredLabel))
            stopRun(scheduler, *findRun(scheduler, item.m_task, item.m_run, index));
    }
}

// The executor stays unregistered until the registry shows the new life: only the registry tells its service, labels
// and capacity, which may differ.
auto resetIncarnation(Scheduler& scheduler, ExecutorIndex index, std::int64_t startedAtMs, Instant now) -> void
{
    auto& executor = *scheduler.m_executors[index];
    const auto runs = executor.m_runs.size();
    markUnresponsive(executor, now);
    endLife(scheduler, index, now);
    const auto kept = executor.m_runs.size();
    scheduler.m_noticedLives.push_back(
        { index, startedAtMs, executor.m_entry.m_startedAtMs, executor.m_leaseUntilMs, runs - kept, kept });
    confirmBlame(scheduler, index);
    expectEarlierLease(scheduler.m_timing, executor, now);
    ++executor.m_lifeNumber;
    executor.m_lifeNoticedAt = now;
    executor.m_isRegistered = false;
    executor.m_entryRemovedAt.reset();
    executor.m_firstAnsweredAt.reset();
    executor.m_acknowledgedEnd = 0;
    executor.m_appliedEnd = 0;
    executor.m_leaseUntilMs = 0;
    executor.m_clockMs = 0;
    executor.m_unacknowledgedEnds.clear();
    executor.m_isUnresponsive = false;
    executor.m_isReconciled = false;
    executor.m_isTerminated = false;
    executor.m_isLeaving = false;
    executor.m_consecutiveFailures = 0;
    executor.m_backoffUntil = {};
}

// The remaining time changes with each heartbeat, so it is kept apart from the entry, whose changes cost an update of
// the index.
auto adoptEntry(const Scheduler& scheduler, Executor& executor, const ExecutorEntry& entry, Instant now) -> void
{
    executor.m_coldUntil = now + Duration(entry.m_remainingColdMs);
    auto kept = entry;
    kept.m_remainingColdMs = 0;
    if (executor.m_entry != kept)
        ++executor.m_entryVersion;
    executor.m_entry = std::move(kept);
    executor.m_rack = rackOf(entry);
    executor.m_isZoneEvacuated = scheduler.m_rules.m_evacuatedZones.contains(entry.m_zone);
}

// Adds a reported run that the scheduler does not know. It continues if its task still needs a run, otherwise it is
// stopped.
auto adoptRun(Scheduler& scheduler, ExecutorIndex index, const ReportedRun& reported, Instant now,
    std::vector<Action>& actions) -> void
{
    auto* task = findTask(scheduler, reported.m_task);
    if (task == nullptr) {
        noteFoundRun(scheduler, reported.m_task, reported.m_run, index, false, true);
        actions.push_back({ ActionKind::Stop, index, reported.m_task, reported.m_run, 100, {}, {}, "unknown run" });
        return;
    }
    auto& job = *findJob(scheduler, reported.m_task.m_job);
    const auto& spec = job.m_spec.m_steps[reported.m_task.m_step];
    markBegun(job);
    const auto isNeeded = !isFinal(job.m_phase) && !task->m_isDone
        && (task->m_runs.empty() || (spec.m_allowsDuplicates && !spec.m_isGang));
    noteFoundRun(scheduler, reported.m_task, reported.m_run, index, false, !isNeeded);
    auto& run = addRun(
        scheduler, reported.m_task, reported.m_run, index, isNeeded ? RunPhase::Running : RunPhase::Stopping, now);
    run.m_mayBeStopping = true;
    run.m_isConfirmed = true;
    run.m_isReported = true;
    run.m_percent = reported.m_percent;
    run.m_measurement = reported.m_measurement;
    if (!reported.m_checkpoint.empty())
        task->m_checkpoint = reported.m_checkpoint;
}

auto refreshRun(Scheduler& scheduler, TaskRun& run, const ReportedRun& reported, Instant pollSentAt, Instant now)
    -> void
{
    confirmStart(scheduler, run, now);
    markBegun(*findJob(scheduler, reported.m_task.m_job));
    run.m_isConfirmed = true;
    run.m_isReported = true;
    const auto& executor = *scheduler.m_executors[run.m_executor];
    if (executor.m_firstAnsweredAt && pollSentAt >= *executor.m_firstAnsweredAt + scheduler.m_timing.m_longestStop)
        run.m_mayBeStopping = false;
    if (run.m_phase == RunPhase::Starting)
        run.m_phase = RunPhase::Running;
    run.m_percent = reported.m_percent;
    run.m_measurement = reported.m_measurement;
    endTrial(*findTask(scheduler, reported.m_task), run, pollSentAt);
    if (!reported.m_checkpoint.empty())
        findTask(scheduler, reported.m_task)->m_checkpoint = reported.m_checkpoint;
}

auto isReported(const ExecutorReport& report, const ExecutorRun& item) -> bool
{
    return std::any_of(report.m_runs.begin(), report.m_runs.end(),
        [&](const ReportedRun& other) { return other.m_task == item.m_task && other.m_run == item.m_run; });
}

// On the first answer to this owner's epoch: a run of an earlier owner that is not reported will not start any more,
// since the executor now refuses requests of earlier owners. This owner's own starts may still arrive.
auto removeUnreportedRuns(Scheduler& scheduler, ExecutorIndex index, const ExecutorReport& report, Instant now) -> void
{
    const auto runs = scheduler.m_executors[index]->m_runs;
    for (const auto& item : runs) {
        const auto* run = findRun(scheduler, item.m_task, item.m_run, index);
        if (run != nullptr && run->m_isRestored && !isReported(report, item))
            dropRun(scheduler, item.m_task, item.m_run, index, DropReason::NotReported, now);
    }
}

// Stops runs whose start got no answer and that are missing from the answer to a later poll: the start may still
// arrive.
auto stopUnconfirmedStarts(Scheduler& scheduler, ExecutorIndex index, const ExecutorReport& report) -> void
{
    for (const auto& item : scheduler.m_executors[index]->m_runs) {
        auto* run = findRun(scheduler, item.m_task, item.m_run, index);
        if (run == nullptr || run->m_phase != RunPhase::Starting || !run->m_outcomeUnknownSince)
            continue;
        if (*run->m_outcomeUnknownSince <= report.m_pollSentAt && !isReported(report, item))
            stopRun(scheduler, *run);
    }
}

// Removes runs that are missing from the answer to a poll sent after the executor confirmed their stop: they can no
// longer start there.
auto removeStoppedRuns(Scheduler& scheduler, ExecutorIndex index, const ExecutorReport& report, Instant now) -> void
{
    const auto runs = scheduler.m_executors[index]->m_runs;
    for (const auto& item : runs) {
        const auto* run = findRun(scheduler, item.m_task, item.m_run, index);
        if (run == nullptr || !run->m_stopAnsweredAt || *run->m_stopAnsweredAt > report.m_pollSentAt)
            continue;
        if (!isReported(report, item))
            dropRun(scheduler, item.m_task, item.m_run, index, DropReason::Stopped, now);
    }
}

// Whether the answer to a poll would list a run that an executor's present life has: one whose start or stop it had
// confirmed before the poll, or one of an earlier owner, since it refuses requests of that one by now.
auto wouldBeListed(const Executor& executor, const TaskRun& run, Instant pollSentAt) -> bool
{
    const auto isConfirmed = [&](const std::optional<Instant>& at) { return at && *at <= pollSentAt; };
    return isConfirmed(run.m_startAnsweredAt) || isConfirmed(run.m_stopAnsweredAt)
        || (run.m_isRestored && !executor.m_isReconciled);
}

// Settles the runs that may have been started on an earlier or on the present life: those that the present one would
// list and does not ended with the earlier one.
auto settleEndedLife(Scheduler& scheduler, ExecutorIndex index, const ExecutorReport& report, Instant now) -> void
{
    auto& executor = *scheduler.m_executors[index];
    if (!executor.m_endedLife)
        return;
    std::vector<ExecutorRun> lost;
    auto isSettled = true;
    for (const auto& item : executor.m_runs) {
        const auto& run = *findRun(scheduler, item.m_task, item.m_run, index);
        if (run.m_isReported || !run.m_sentAt || *run.m_sentAt > executor.m_endedLife->m_noticedAt)
            continue;
        if (wouldBeListed(executor, run, report.m_pollSentAt))
            lost.push_back(item);
        else
            isSettled = false;
    }
    loseRuns(scheduler, index, lost, *executor.m_endedLife, true, DropReason::NewLife, now);
    if (isSettled)
        executor.m_endedLife.reset();
    executor.m_leaseUntilMs
        = std::max(executor.m_leaseUntilMs, report.m_clockMs + scheduler.m_timing.m_longestHold.count());
}

} // namespace

auto obstacleToStarts(const Executor& executor, Instant now) -> std::string_view
{
    if (!executor.m_isRegistered)
        return "unlisted";
    if (executor.m_isUnresponsive)
        return "silent";
    if (!executor.m_isReconciled)
        return "not_listed_runs";
    if (executor.m_isZoneEvacuated)
        return "zone_evacuated";
    if (executor.m_isReserved)
        return "reserved";
    if (executor.m_isLeaving)
        return "leaving";
    if (executor.m_entry.m_isDraining)
        return "draining";
    return executor.m_backoffUntil <= now ? "" : "backoff";
}

auto expectEarlierLease(const SchedulerTiming& timing, Executor& executor, Instant latestRequestAt) -> void
{
    const auto expiresBy = latestRequestAt + longestTimeOf(timing.m_longestHold) + timing.m_leaseSlack;
    executor.m_earlierLeasesExpireBy = std::max(executor.m_earlierLeasesExpireBy, expiresBy);
    executor.m_mayHoldEarlierLease = true;
    executor.m_earlierLeaseUntilMs = 0;
}

auto noteStartClock(
    Scheduler& scheduler, ExecutorIndex index, std::int64_t clockMs, std::int64_t earlierClockMs, Instant now) -> bool
{
    if (clockMs >= earlierClockMs)
        return false;
    auto& executor = *scheduler.m_executors[index];
    expectEarlierLease(scheduler.m_timing, executor, now);
    executor.m_isReconciled = false;
    return true;
}

auto forgetEarlierLeases(Scheduler& scheduler, Instant now) -> std::vector<ExecutorIndex>
{
    std::vector<ExecutorIndex> forgotten;
    for (const auto index : scheduler.m_activeExecutors) {
        auto& executor = *scheduler.m_executors[index];
        const auto lapsesAt = executor.m_earlierLeaseUntilMs + scheduler.m_timing.m_leaseSlack.count();
        if (!executor.m_mayHoldEarlierLease || executor.m_earlierLeaseUntilMs == 0
            || clockLowerBound(executor, now) <= lapsesAt)
            continue;
        executor.m_mayHoldEarlierLease = false;
        forgotten.push_back(index);
    }
    return forgotten;
}

auto isSchedulable(const Executor& executor, Instant now) -> bool { return obstacleToStarts(executor, now).empty(); }

auto isCapacityKnown(const Scheduler& scheduler, const Executor& executor, Instant now) -> bool
{
    return isCapacityKnown(scheduler, executor.m_entry.m_service, now);
}

auto isCapacityKnown(const Scheduler& scheduler, const std::string& service, Instant now) -> bool
{
    return !scheduler.m_rules.m_unguardedServices.contains(service)
        || now - scheduler.m_registryReadAt < capacityValidity;
}

auto registerExecutor(Scheduler& scheduler, const ExecutorEntry& entry, Instant earlierLeasesExpireBy, Instant now)
    -> ExecutorIndex
{
    const auto found = scheduler.m_executorById.find(entry.m_id);
    if (found == scheduler.m_executorById.end()) {
        auto executor = std::make_unique<Executor>();
        adoptEntry(scheduler, *executor, entry, now);
        executor->m_earlierLeasesExpireBy = earlierLeasesExpireBy;
        executor->m_clockReadAt = now;
        executor->m_lifeNoticedAt = now;
        const auto index = static_cast<ExecutorIndex>(scheduler.m_executors.size());
        scheduler.m_executors.push_back(std::move(executor));
        scheduler.m_executorById.emplace(entry.m_id, index);
        activateExecutor(scheduler, index);
        return index;
    }
    auto& executor = *scheduler.m_executors[found->second];
    // An entry of an incarnation that is older, or is known to have ended, is ignored.
    if (entry.m_startedAtMs < executor.m_entry.m_startedAtMs
        || (executor.m_isTerminated && entry.m_startedAtMs == executor.m_entry.m_startedAtMs))
        return found->second;
    if (entry.m_startedAtMs > executor.m_entry.m_startedAtMs)
        resetIncarnation(scheduler, found->second, entry.m_startedAtMs, now);
    const auto isOfOtherKind
        = executor.m_entry.m_service != entry.m_service || executor.m_entry.m_labels != entry.m_labels;
    adoptEntry(scheduler, executor, entry, now);
    executor.m_isRegistered = true;
    executor.m_entryRemovedAt.reset();
    if (isOfOtherKind)
        stopMisplacedRuns(scheduler, found->second);
    activateExecutor(scheduler, found->second);
    return found->second;
}

auto activateExecutor(Scheduler& scheduler, ExecutorIndex index) -> void
{
    auto& executor = *scheduler.m_executors[index];
    if (executor.m_isActive)
        return;
    executor.m_isActive = true;
    executor.m_isZoneEvacuated = scheduler.m_rules.m_evacuatedZones.contains(executor.m_entry.m_zone);
    executor.m_activation = ++scheduler.m_starts.m_activations;
    scheduler.m_activeExecutors.push_back(index);
}

auto retireExecutors(Scheduler& scheduler) -> std::vector<ExecutorIndex>
{
    std::vector<ExecutorIndex> retired;
    std::erase_if(scheduler.m_activeExecutors, [&](ExecutorIndex index) {
        auto& executor = *scheduler.m_executors[index];
        if (executor.m_isRegistered || !executor.m_runs.empty() || !executor.m_unacknowledgedEnds.empty())
            return false;
        executor.m_isActive = false;
        forgetSilence(scheduler, index);
        removeFromPool(scheduler, index);
        retired.push_back(index);
        return true;
    });
    return retired;
}

auto unregisterExecutor(Scheduler& scheduler, std::string_view id) -> void
{
    const auto found = scheduler.m_executorById.find(std::string(id));
    if (found != scheduler.m_executorById.end())
        scheduler.m_executors[found->second]->m_isRegistered = false;
}

auto noteEntryRemoved(Scheduler& scheduler, std::string_view id, Instant now) -> void
{
    const auto found = scheduler.m_executorById.find(std::string(id));
    if (found == scheduler.m_executorById.end())
        return;
    auto& executor = *scheduler.m_executors[found->second];
    executor.m_isRegistered = false;
    executor.m_entryRemovedAt = executor.m_entryRemovedAt.value_or(now);
}

auto mayBeLost(const Executor& executor) -> bool
{
    return executor.m_entryRemovedAt && executor.m_isUnresponsive && !executor.m_isTerminated
        && !executor.m_runs.empty();
}

auto removeLostRuns(Scheduler& scheduler, ExecutorIndex index, Instant now) -> std::size_t
{
    auto& executor = *scheduler.m_executors[index];
    executor.m_endedLife.reset();
    return loseRuns(
        scheduler, index, std::vector(executor.m_runs), presentLife(executor), false, DropReason::MachineLost, now);
}

auto markTerminated(Scheduler& scheduler, ExecutorIndex index, Instant now, DropReason reason) -> void
{
    auto& executor = *scheduler.m_executors[index];
    markUnresponsive(executor, now);
    loseRuns(scheduler, index, std::vector(executor.m_runs), presentLife(executor), true, reason, now);
    executor.m_endedLife.reset();
    confirmBlame(scheduler, index);
    executor.m_isRegistered = false;
    executor.m_isTerminated = true;
    executor.m_isReconciled = true;
}

auto applyReport(Scheduler& scheduler, ExecutorIndex index, const ExecutorReport& report, Instant now, WallMillis wall,
    std::vector<Action>& actions) -> void
{
    auto& executor = *scheduler.m_executors[index];
    if (report.m_startedAtMs != 0 && report.m_startedAtMs < executor.m_entry.m_startedAtMs)
        return;
    const auto isNewLife = report.m_startedAtMs > executor.m_entry.m_startedAtMs;
    if (isNewLife) {
        resetIncarnation(scheduler, index, report.m_startedAtMs, now);
        executor.m_entry.m_startedAtMs = report.m_startedAtMs;
    }
    activateExecutor(scheduler, index);
    executor.m_clockMs = report.m_clockMs;
    executor.m_clockReadAt = now;
    executor.m_isUnresponsive = false;
    executor.m_firstAnsweredAt = executor.m_firstAnsweredAt.value_or(now);
    withdrawBlame(scheduler, index);
    for (const auto& end : report.m_endedRuns) {
        if (end.m_number <= executor.m_appliedEnd)
            continue;
        executor.m_appliedEnd = end.m_number;
        applyRunEnd(scheduler, index, end, now, wall);
        executor.m_unacknowledgedEnds.emplace_back(end.m_number, scheduler.m_openBatch);
    }
    for (const auto& reported : report.m_runs) {
        auto* run = findRun(scheduler, reported.m_task, reported.m_run, index);
        if (run == nullptr)
            adoptRun(scheduler, index, reported, now, actions);
        else
            refreshRun(scheduler, *run, reported, report.m_pollSentAt, now);
    }
    // Otherwise the runs that are missing may be among the ends that further answers list.
    // A request that was meant for an earlier life may still start one of them.
    if (!report.m_isComplete || isNewLife || !report.m_isForPresentLife)
        return;
    stopUnconfirmedStarts(scheduler, index, report);
    settleEndedLife(scheduler, index, report, now);
    removeStoppedRuns(scheduler, index, report, now);
    if (!executor.m_isReconciled) {
        removeUnreportedRuns(scheduler, index, report, now);
        boundEarlierLease(scheduler.m_timing, executor, report, now);
    }
    executor.m_isReconciled = true;
}

auto expireLeases(Scheduler& scheduler, Instant now) -> std::size_t
{
    std::size_t removed = 0;
    for (const auto index : scheduler.m_activeExecutors) {
        auto& executor = *scheduler.m_executors[index];
        const auto lapsesAt = executor.m_leaseUntilMs + scheduler.m_timing.m_leaseSlack.count();
        // Also when it has answered: until a deadline is sent, its runs go on by the lease of an earlier owner. One
        // that has not listed all its runs and ends yet may have got a deadline.
        const auto hasOwnLease = executor.m_isReconciled || executor.m_leaseUntilMs > 0;
        const auto hasLapsed
            = now >= executor.m_earlierLeasesExpireBy && (!hasOwnLease || clockLowerBound(executor, now) > lapsesAt);
        if (executor.m_runs.empty() || !executor.m_isUnresponsive || !hasLapsed)
            continue;
        removed += loseRuns(
            scheduler, index, std::vector(executor.m_runs), presentLife(executor), false, DropReason::LeaseLapsed, now);
    }
    return removed;
}

auto markBatchStored(Scheduler& scheduler, std::uint64_t batch) -> std::vector<ExecutorIndex>
{
    std::vector<ExecutorIndex> acknowledged;
    for (const auto index : scheduler.m_activeExecutors) {
        auto& executor = *scheduler.m_executors[index];
        if (executor.m_unacknowledgedEnds.empty())
            continue;
        while (!executor.m_unacknowledgedEnds.empty() && executor.m_unacknowledgedEnds.front().second <= batch) {
            executor.m_acknowledgedEnd = executor.m_unacknowledgedEnds.front().first;
            executor.m_unacknowledgedEnds.pop_front();
        }
        if (executor.m_unacknowledgedEnds.empty())
            acknowledged.push_back(index);
    }
    return acknowledged;
}

auto planStops(Scheduler& scheduler, Instant now, std::vector<Action>& actions) -> void
{
    for (const auto index : scheduler.m_activeExecutors) {
        auto& executor = *scheduler.m_executors[index];
        if (!executor.m_hasStoppingRuns)
            continue;
        executor.m_hasStoppingRuns = false;
        for (const auto& item : executor.m_runs) {
            auto* run = findRun(scheduler, item.m_task, item.m_run, index);
            if (run == nullptr || run->m_phase != RunPhase::Stopping || run->m_stopAnsweredAt)
                continue;
            executor.m_hasStoppingRuns = true;
            if (run->m_nextActionAt > now)
                continue;
            run->m_nextActionAt = now + scheduler.m_timing.m_stopRetryInterval;
            actions.push_back({ ActionKind::Stop, index, item.m_task, item.m_run, 100, {}, {}, "not needed" });
        }
    }
}

} // namespace hemlockvane::scheduling
