#include "hemlockvane/jobs/ApplyJobs.h"

#include "hemlockvane/log/FleetState.h"

#include "hemlockvane/records.pb.h"

#include <algorithm>

namespace hemlockvane {

namespace {

auto endJob(JobState& jobs, const std::string& id, JobRecord& job, JobStatus status, WallMillis at) -> void
{
    jobs.m_queued.erase(id);
    unindexRunning(jobs, id, job.m_worker);
    job.m_status = status;
    job.m_worker.clear();
    job.m_changedAt = at;
    jobs.m_ended.emplace(at, id);
}

auto requeue(JobState& jobs, const std::string& id, JobRecord& job, WallMillis at) -> void
{
    unindexRunning(jobs, id, job.m_worker);
    jobs.m_queued.insert(id);
    job.m_status = JobStatus::Queued;
    job.m_worker.clear();
    job.m_changedAt = at;
}

auto makeJob(const wire::SubmitJob& change, const FoldContext& context) -> JobRecord
{
    JobRecord job;
    job.m_team = change.team();
    job.m_queue = change.queue();
    job.m_command = change.command();
    job.m_cores = change.size().cores();
    job.m_memoryMb = change.size().memory_mb();
    job.m_accelerators = change.size().accelerators();
    job.m_runSeconds = change.size().run_seconds();
    job.m_urgent = change.urgent();
    job.m_repeatable = change.repeatable();
    job.m_maximumAttempts = std::max(1U, change.max_attempts());
    job.m_deadlineAt = change.deadline_at_ms();
    job.m_submittedAt = context.m_offset;
    job.m_submittedAtMs = context.m_stampedAt;
    job.m_changedAt = context.m_stampedAt;
    return job;
}

auto checkFence(const FleetState& state, const wire::Fence& fence, FailureReason& reason) -> bool
{
    if (fence.duty() == placementDuty && isFenceValid(state.m_membership, fence.duty(), fence.epoch()))
        return true;
    fail(reason, ErrorKind::StaleEpoch, "the placement duty has another epoch");
    return false;
}

auto countsAsFailure(wire::JobOutcome outcome) -> bool
{
    return outcome == wire::JOB_FAILED || outcome == wire::JOB_LOST;
}

// A non-repeatable job that may have started gets no second attempt unless it continues from a checkpoint.
// Only failures count against the maximum of attempts; stops and checkpoints in favour of other jobs do not.
auto mayRunAgain(const JobRecord& job, wire::JobOutcome outcome) -> bool
{
    if (outcome == wire::JOB_REFUSED || outcome == wire::JOB_CHECKPOINTED)
        return true;
    return job.m_repeatable && job.m_failedOn.size() < job.m_maximumAttempts;
}

auto isSameJob(const JobRecord& job, const wire::SubmitJob& change) -> bool
{
    const auto& size = change.size();
    const auto sameSize = job.m_cores == size.cores() && job.m_memoryMb == size.memory_mb()
        && job.m_accelerators == size.accelerators();
    return sameSize && job.m_team == change.team() && job.m_queue == change.queue()
        && job.m_command == change.command();
}

// A waiting job can only be ended by parking it, a running one by the end of its current attempt.
auto mayEnd(const JobRecord& job, const wire::EndAttempt& change) -> bool
{
    if (job.m_attempt != change.attempt())
        return false;
    if (job.m_status == JobStatus::Queued)
        return change.parked() || change.outcome() == wire::JOB_NEVER_RUNNABLE;
    return job.m_status == JobStatus::Running;
}

auto statusAfter(const JobRecord& job, const wire::EndAttempt& change) -> JobStatus
{
    if (change.outcome() == wire::JOB_FINISHED)
        return JobStatus::Finished;
    if (job.m_cancelRequested)
        return JobStatus::Cancelled;
    const auto parked = change.parked() || change.outcome() == wire::JOB_NEVER_RUNNABLE;
    return parked || !mayRunAgain(job, change.outcome()) ? JobStatus::Parked : JobStatus::Queued;
}

} // namespace

auto apply(FleetState& state, const wire::SubmitJob& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    auto& jobs = state.m_jobs;
    if (change.job().empty() || change.queue().empty() || change.size().cores() == 0)
        return fail(reason, ErrorKind::BadRequest, "a job needs an id, a queue and at least one core");
    const auto found = jobs.m_jobs.find(change.job());
    if (found != jobs.m_jobs.end() && isSameJob(found->second, change))
        return fail(reason, ErrorKind::Duplicate, "job " + change.job() + " was submitted before");
    if (found != jobs.m_jobs.end())
        return fail(reason, ErrorKind::Conflict, "another job has the id " + change.job());
    jobs.m_jobs[change.job()] = makeJob(change, context);
    jobs.m_queued.insert(change.job());
    return context.m_offset;
}

auto apply(FleetState& state, const wire::CancelJobs& change, const FoldContext& context, FailureReason&)
    -> std::optional<AppliedOffset>
{
    auto& jobs = state.m_jobs;
    for (const auto& id : change.jobs()) {
        const auto found = jobs.m_jobs.find(id);
        if (found == jobs.m_jobs.end() || found->second.m_team != change.team())
            continue;
        auto& job = found->second;
        if (job.m_status == JobStatus::Queued)
            endJob(jobs, id, job, JobStatus::Cancelled, context.m_stampedAt);
        if (job.m_status == JobStatus::Running)
            job.m_cancelRequested = true;
    }
    return context.m_offset;
}

auto apply(FleetState& state, const wire::PlaceJob& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    auto& jobs = state.m_jobs;
    if (!checkFence(state, change.fence(), reason))
        return std::nullopt;
    const auto found = jobs.m_jobs.find(change.job());
    if (found == jobs.m_jobs.end())
        return fail(reason, ErrorKind::NotFound, "there is no job " + change.job());
    auto& job = found->second;
    if (job.m_status != JobStatus::Queued || change.attempt() != job.m_attempt + 1)
        return fail(reason, ErrorKind::Conflict, "job " + change.job() + " is not waiting for this attempt");
    const auto worker = state.m_pools.m_instances.find(change.worker());
    if (worker == state.m_pools.m_instances.end() || isUnavailable(worker->second))
        return fail(reason, ErrorKind::Draining, "worker " + change.worker() + " is draining, failed or gone");
    job.m_status = JobStatus::Running;
    job.m_attempt = change.attempt();
    job.m_worker = change.worker();
    job.m_leaseEpoch = context.m_offset;
    job.m_changedAt = context.m_stampedAt;
    jobs.m_queued.erase(change.job());
    indexRunning(jobs, change.job(), change.worker());
    return context.m_offset;
}

auto apply(FleetState& state, const wire::EndAttempt& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    auto& jobs = state.m_jobs;
    if (!checkFence(state, change.fence(), reason))
        return std::nullopt;
    const auto found = jobs.m_jobs.find(change.job());
    if (found == jobs.m_jobs.end())
        return fail(reason, ErrorKind::NotFound, "there is no job " + change.job());
    auto& job = found->second;
    if (!mayEnd(job, change))
        return fail(reason, ErrorKind::Conflict, "attempt " + std::to_string(change.attempt()) + " is not running");
    job.m_reason = change.reason();
    if (countsAsFailure(change.outcome()))
        job.m_failedOn.push_back(job.m_worker);
    const auto status = statusAfter(job, change);
    if (status == JobStatus::Queued)
        requeue(jobs, change.job(), job, context.m_stampedAt);
    else
        endJob(jobs, change.job(), job, status, context.m_stampedAt);
    return context.m_offset;
}

} // namespace hemlockvane
