#include "hemlockvane/placement/ParkWaitingJobs.h"

#include "hemlockvane/placement/WorkerReliability.h"

#include <set>
#include <tuple>

namespace hemlockvane {

namespace {

auto park(PlacementPlan& plan, const std::string& id, const JobRecord& job, AttemptOutcome outcome, std::string reason)
    -> void
{
    PlacementAction action;
    action.m_kind = PlacementActionKind::EndAttempt;
    action.m_job = id;
    action.m_attempt = job.m_attempt;
    action.m_fenceEpoch = plan.m_state.m_epoch;
    action.m_outcome = outcome;
    action.m_parked = true;
    action.m_reason = std::move(reason);
    plan.m_state.m_pendingEnds.insert(id);
    plan.m_actions.push_back(std::move(action));
}

using Capacities = std::set<std::tuple<std::int64_t, std::int64_t, std::int64_t>>;

auto distinctCapacities(const FleetCapacity& fleetCapacity) -> Capacities
{
    Capacities capacities;
    for (const auto& worker : fleetCapacity.m_workers)
        capacities.emplace(
            worker.m_capacity.m_milliCores, worker.m_capacity.m_memoryMb, worker.m_capacity.m_accelerators);
    return capacities;
}

auto fitsAny(const Capacities& capacities, const ResourceSize& size) -> bool
{
    for (const auto& [milliCores, memoryMb, accelerators] : capacities) {
        if (fits(size, { milliCores, memoryMb, accelerators }))
            return true;
    }
    return false;
}

} // namespace

auto parkWaitingJobs(PlacementPlan& plan) -> void
{
    const auto capacities = distinctCapacities(plan.m_fleetCapacity);
    for (const auto& id : plan.m_fleet.m_jobs.m_queued) {
        if (plan.m_state.m_pendingPlacements.contains(id) || plan.m_state.m_pendingEnds.contains(id))
            continue;
        const auto& job = plan.m_fleet.m_jobs.m_jobs.find(id)->second;
        FailureReason reason;
        const auto failedOn = countReliableWorkersFailedOn(plan.m_state, job, plan.m_input.m_now);
        if (job.m_deadlineAt != 0 && plan.m_input.m_wallNow >= job.m_deadlineAt)
            park(plan, id, job, AttemptOutcome::Refused, "its deadline passed before it ran to its end");
        else if (!capacities.empty() && !fitsAny(capacities, declaredSize(job))) {
            isRunnable(plan.m_fleet.m_pools, declaredSize(job), reason);
            park(plan, id, job, AttemptOutcome::NeverRunnable, std::move(reason.m_text));
        } else if (failedOn >= plan.m_state.m_limits.m_parkThreshold)
            park(plan, id, job, AttemptOutcome::Refused, "it failed on " + std::to_string(failedOn) + " good workers");
    }
}

} // namespace hemlockvane
