#include "hemlockvane/placement/TrackTasks.h"

#include "hemlockvane/placement/ResourceSize.h"
#include "hemlockvane/placement/WorkerReliability.h"

#include <algorithm>

namespace hemlockvane {

namespace {

auto leaseUntil(const PlacementState& state, const WorkerStatus& worker) -> std::int64_t
{
    return worker.m_workerClockMs + state.m_limits.m_leaseTerm.count();
}

auto workerAction(const PlacementState& state, PlacementActionKind kind, std::string_view worker, std::string reason)
    -> PlacementAction
{
    PlacementAction action;
    action.m_kind = kind;
    action.m_worker = worker;
    action.m_fenceEpoch = state.m_epoch;
    action.m_reason = std::move(reason);
    return action;
}

auto taskAction(const PlacementState& state, PlacementActionKind kind, std::string_view worker, const TaskReport& task,
    std::string reason) -> PlacementAction
{
    auto action = workerAction(state, kind, worker, std::move(reason));
    action.m_job = task.m_job;
    action.m_attempt = task.m_attempt;
    action.m_leaseEpoch = task.m_leaseEpoch;
    return action;
}

auto endAction(PlacementState& state, const std::string& id, const JobRecord& job, AttemptOutcome outcome,
    std::string reason) -> PlacementAction
{
    auto action = workerAction(state, PlacementActionKind::EndAttempt, job.m_worker, std::move(reason));
    action.m_job = id;
    action.m_attempt = job.m_attempt;
    action.m_leaseEpoch = job.m_leaseEpoch;
    action.m_outcome = outcome;
    state.m_pendingEnds.insert(id);
    return action;
}

auto startAction(PlacementState& state, const std::string& id, const JobRecord& job, const WorkerStatus& worker)
    -> PlacementAction
{
    auto& task = state.m_tasks[id];
    task.m_startSent = true;
    task.m_incarnation = worker.m_incarnation;
    auto action = workerAction(state, PlacementActionKind::StartTask, job.m_worker, "placed by the log");
    action.m_job = id;
    action.m_attempt = job.m_attempt;
    action.m_leaseEpoch = job.m_leaseEpoch;
    action.m_leaseUntil = leaseUntil(state, worker);
    return action;
}

auto outcomeOf(TaskPhase phase) -> AttemptOutcome
{
    switch (phase) {
    case TaskPhase::Finished:
        return AttemptOutcome::Finished;
    case TaskPhase::Failed:
        return AttemptOutcome::Failed;
    case TaskPhase::Stopped:
        return AttemptOutcome::Stopped;
    case TaskPhase::Checkpointed:
        return AttemptOutcome::Checkpointed;
    case TaskPhase::Refused:
        return AttemptOutcome::Refused;
    case TaskPhase::Running:
    case TaskPhase::Throttled:
        break;
    }
    return AttemptOutcome::None;
}

// The job whose current attempt the reported task is; null when, according to the log, the attempt has ended or runs on
// another worker.
auto currentJob(const FleetState& fleet, const std::string& worker, const TaskReport& task) -> const JobRecord*
{
    const auto found = fleet.m_jobs.m_jobs.find(task.m_job);
    if (found == fleet.m_jobs.m_jobs.end())
        return nullptr;
    const auto& job = found->second;
    const auto current = job.m_status == JobStatus::Running && job.m_worker == worker
        && job.m_leaseEpoch == task.m_leaseEpoch && job.m_attempt == task.m_attempt;
    return current ? &job : nullptr;
}

auto recordUsage(PlacementState& state, const WorkerReport& report, const TaskReport& task) -> void
{
    auto& status = state.m_tasks[task.m_job];
    status.m_incarnation = report.m_incarnation;
    status.m_memoryMb = task.m_memoryMb;
    status.m_peakMilliCores = std::max<std::int64_t>(status.m_peakMilliCores, task.m_milliCores);
    status.m_peakMemoryMb = std::max<std::int64_t>(status.m_peakMemoryMb, task.m_memoryMb);
}

auto handleReportedTask(const FleetState& fleet, PlacementState& state, const WorkerReport& report,
    const TaskReport& task, std::vector<PlacementAction>& actions) -> void
{
    const auto* job = currentJob(fleet, report.m_worker, task);
    if (job == nullptr && task.m_leaseEpoch > fleet.m_nextOffset)
        return;
    if (job == nullptr) {
        const auto kind = hasEnded(task.m_phase) ? PlacementActionKind::AcknowledgeEnd : PlacementActionKind::StopTask;
        actions.push_back(taskAction(state, kind, report.m_worker, task, "the log has no such running attempt"));
        return;
    }
    recordUsage(state, report, task);
    if (hasEnded(task.m_phase) && !state.m_pendingEnds.contains(task.m_job))
        actions.push_back(endAction(state, task.m_job, *job, outcomeOf(task.m_phase), task.m_reason));
}

// True when it is unknown whether the missing task ran: the worker restarted since it was started or reported, or an
// earlier holder placed it and it must not run twice.
auto mayHaveRun(const PlacementState& state, const std::string& id, const JobRecord& job, const WorkerStatus& worker)
    -> bool
{
    const auto found = state.m_tasks.find(id);
    const auto known = found != state.m_tasks.end() && !found->second.m_incarnation.empty();
    if (known)
        return found->second.m_incarnation != worker.m_incarnation;
    return !job.m_repeatable && job.m_leaseEpoch < state.m_epoch;
}

auto handleMissingTask(
    PlacementState& state, const std::string& id, const JobRecord& job, std::vector<PlacementAction>& actions) -> void
{
    if (state.m_pendingEnds.contains(id))
        return;
    const auto& worker = state.m_workers[job.m_worker];
    if (mayHaveRun(state, id, job, worker))
        actions.push_back(endAction(state, id, job, AttemptOutcome::Lost, "the worker restarted or forgot the task"));
    else
        actions.push_back(startAction(state, id, job, worker));
}

auto recordPeakUsage(const FleetState& fleet, PlacementState& state, std::string_view id) -> void
{
    const auto job = fleet.m_jobs.m_jobs.find(id);
    const auto task = state.m_tasks.find(id);
    if (job == fleet.m_jobs.m_jobs.end() || task == state.m_tasks.end())
        return;
    const auto& record = job->second;
    auto& history = state.m_queues[{ record.m_team, record.m_queue }];
    if (task->second.m_peakMilliCores > 0)
        addSample(history.m_milliCores, record.m_cores * milliPerCore, task->second.m_peakMilliCores);
    if (task->second.m_peakMemoryMb > 0)
        addSample(history.m_memoryMb, record.m_memoryMb, task->second.m_peakMemoryMb);
}

// The latest time at which this holder or an earlier one may have renewed the worker's lease.
auto lastRenewal(const PlacementState& state, std::string_view worker) -> Instant
{
    const auto found = state.m_workers.find(worker);
    if (found == state.m_workers.end() || !found->second.m_lastReportAt)
        return state.m_startedAt;
    return std::max(state.m_startedAt, *found->second.m_lastReportAt);
}

} // namespace

auto beginPlacement(PlacementState& state, Offset epoch, Instant now) -> void
{
    state = PlacementState { state.m_limits, epoch, now, {}, {}, {}, {}, {}, {} };
}

auto onReport(const FleetState& fleet, PlacementState& state, const WorkerReport& report, Instant now)
    -> std::vector<PlacementAction>
{
    std::vector<PlacementAction> actions;
    auto& worker = state.m_workers[report.m_worker];
    const auto isSameIncarnation = worker.m_incarnation == report.m_incarnation;
    if (isSameIncarnation && worker.m_lastReportAt && report.m_workerClockMs < worker.m_workerClockMs)
        return actions;
    worker.m_incarnation = report.m_incarnation;
    worker.m_lastReportAt = now;
    worker.m_workerClockMs = report.m_workerClockMs;
    auto renewal = workerAction(state, PlacementActionKind::RenewLease, report.m_worker, "heard");
    renewal.m_leaseUntil = leaseUntil(state, worker);
    actions.push_back(std::move(renewal));

    std::set<std::string_view> reported;
    for (const auto& task : report.m_tasks) {
        reported.insert(task.m_job);
        handleReportedTask(fleet, state, report, task, actions);
    }
    const auto placed = fleet.m_jobs.m_runningByWorker.find(report.m_worker);
    if (placed == fleet.m_jobs.m_runningByWorker.end())
        return actions;
    for (const auto& id : placed->second) {
        if (!reported.contains(id))
            handleMissingTask(state, id, fleet.m_jobs.m_jobs.find(id)->second, actions);
    }
    return actions;
}

auto onPlaced(const FleetState& fleet, PlacementState& state, std::string_view job, Instant now)
    -> std::vector<PlacementAction>
{
    state.m_pendingPlacements.erase(std::string(job));
    state.m_urgentReservations.erase(std::string(job));
    const auto found = fleet.m_jobs.m_jobs.find(job);
    if (found == fleet.m_jobs.m_jobs.end() || found->second.m_status != JobStatus::Running)
        return {};
    const auto worker = state.m_workers.find(found->second.m_worker);
    const auto hasRecentReport = worker != state.m_workers.end() && worker->second.m_lastReportAt
        && now - *worker->second.m_lastReportAt < state.m_limits.m_leaseTerm;
    if (!hasRecentReport)
        return {};
    return { startAction(state, found->first, found->second, worker->second) };
}

auto onNotRecorded(PlacementState& state, std::string_view job) -> void
{
    state.m_pendingPlacements.erase(std::string(job));
    state.m_pendingEnds.erase(std::string(job));
}

auto onEnded(const FleetState& fleet, PlacementState& state, std::string_view job, std::string_view worker,
    AttemptOutcome outcome, Instant now) -> void
{
    recordPeakUsage(fleet, state, job);
    if (!worker.empty())
        recordAttemptOutcome(fleet, state, job, worker, outcome, now);
    state.m_tasks.erase(std::string(job));
    state.m_pendingEnds.erase(std::string(job));
    state.m_urgentReservations.erase(std::string(job));
}

auto endLostAttempts(const FleetState& fleet, PlacementState& state, Instant now) -> std::vector<PlacementAction>
{
    std::vector<PlacementAction> actions;
    const auto term = state.m_limits.m_leaseTerm + state.m_limits.m_clockDrift;
    for (const auto& id : fleet.m_jobs.m_running) {
        const auto& job = fleet.m_jobs.m_jobs.find(id)->second;
        if (state.m_pendingEnds.contains(id) || now <= lastRenewal(state, job.m_worker) + term)
            continue;
        const auto* reason = job.m_repeatable ? "the worker's lease lapsed"
                                              : "the worker's lease lapsed and the job may not be repeated";
        actions.push_back(endAction(state, id, job, AttemptOutcome::Lost, reason));
    }
    return actions;
}

} // namespace hemlockvane
