#include "hemlockvane/jobs/ApplyJobs.h"

#include "hemlockvane/log/FleetState.h"

#include "hemlockvane/records.pb.h"

#include <algorithm>

namespace hemlockvane {

namespace {

auto endJob(JobState& jobs, const std::string& id, JobRecord& job, JobStatus status, WallMillis at) -> void
{
    jobs.m_queued.erase(id);
    jobs.m_running.erase(id);
    job.m_status = status;
    job.m_worker.clear();
    job.m_changedAt = at;
    jobs.m_ended.emplace(at, id);
}

auto requeue(JobState& jobs, const std::string& id, JobRecord& job, WallMillis at) -> void
{
    jobs.m_running.erase(id);
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

auto countsAsFailure(wire::JobOutcome outcome) -> bool
{
    return outcome == wire::JOB_FAILED || outcome == wire::JOB_LOST;
}

// A non-repeatable job that may have begun to run gets no second attempt.
auto mayRunAgain(const JobRecord& job, wire::JobOutcome outcome) -> bool
{
    if (outcome == wire::JOB_REFUSED)
        return true;
    if (outcome == wire::JOB_STOPPED)
        return true;
    return job.m_repeatable && job.m_attempt < job.m_maximumAttempts;
}

} // namespace

auto apply(FleetState& state, const wire::SubmitJob& change, const FoldContext& context, LastReason& reason)
    -> std::optional<Applied>
{
    auto& jobs = state.m_jobs;
    if (change.job().empty() || change.queue().empty() || change.size().cores() == 0)
        return fail(reason, ErrorKind::BadRequest, "a job needs an id, a queue and at least one core");
    if (jobs.m_jobs.contains(change.job()))
        return fail(reason, ErrorKind::Duplicate, "job " + change.job() + " was submitted before");
    jobs.m_jobs[change.job()] = makeJob(change, context);
    jobs.m_queued.insert(change.job());
    return context.m_offset;
}

auto apply(FleetState& state, const wire::CancelJobs& change, const FoldContext& context, LastReason&)
    -> std::optional<Applied>
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

auto apply(FleetState& state, const wire::PlaceJob& change, const FoldContext& context, LastReason& reason)
    -> std::optional<Applied>
{
    auto& jobs = state.m_jobs;
    if (!fenceHolds(state.m_membership, change.fence().duty(), change.fence().epoch()))
        return fail(reason, ErrorKind::StaleEpoch, "the placement duty has another epoch");
    const auto found = jobs.m_jobs.find(change.job());
    if (found == jobs.m_jobs.end())
        return fail(reason, ErrorKind::NotFound, "there is no job " + change.job());
    auto& job = found->second;
    if (job.m_status != JobStatus::Queued || change.attempt() != job.m_attempt + 1)
        return fail(reason, ErrorKind::Conflict, "job " + change.job() + " is not waiting for this attempt");
    const auto worker = state.m_pools.m_instances.find(change.worker());
    if (worker == state.m_pools.m_instances.end() || !worker->second.m_drainingFor.empty())
        return fail(reason, ErrorKind::Draining, "worker " + change.worker() + " is draining or gone");
    job.m_status = JobStatus::Running;
    job.m_attempt = change.attempt();
    job.m_worker = change.worker();
    job.m_leaseEpoch = context.m_offset;
    job.m_changedAt = context.m_stampedAt;
    jobs.m_queued.erase(change.job());
    jobs.m_running.insert(change.job());
    return context.m_offset;
}

auto apply(FleetState& state, const wire::EndAttempt& change, const FoldContext& context, LastReason& reason)
    -> std::optional<Applied>
{
    auto& jobs = state.m_jobs;
    if (!fenceHolds(state.m_membership, change.fence().duty(), change.fence().epoch()))
        return fail(reason, ErrorKind::StaleEpoch, "the placement duty has another epoch");
    const auto found = jobs.m_jobs.find(change.job());
    if (found == jobs.m_jobs.end())
        return fail(reason, ErrorKind::NotFound, "there is no job " + change.job());
    auto& job = found->second;
    const auto waiting = job.m_status == JobStatus::Queued && change.outcome() == wire::JOB_NEVER_RUNNABLE;
    const auto running = job.m_status == JobStatus::Running && job.m_attempt == change.attempt();
    if (!waiting && !running)
        return fail(reason, ErrorKind::Conflict, "attempt " + std::to_string(change.attempt()) + " is not running");
    job.m_reason = change.reason();
    if (countsAsFailure(change.outcome()))
        job.m_failedOn.push_back(job.m_worker);
    if (change.outcome() == wire::JOB_FINISHED)
        endJob(jobs, change.job(), job, JobStatus::Finished, context.m_stampedAt);
    else if (job.m_cancelRequested)
        endJob(jobs, change.job(), job, JobStatus::Cancelled, context.m_stampedAt);
    else if (change.parked() || waiting || !mayRunAgain(job, change.outcome()))
        endJob(jobs, change.job(), job, JobStatus::Parked, context.m_stampedAt);
    else
        requeue(jobs, change.job(), job, context.m_stampedAt);
    return context.m_offset;
}

} // namespace hemlockvane
