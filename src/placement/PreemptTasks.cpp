#include "hemlockvane/placement/PreemptTasks.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/placement/TeamShares.h"

#include <algorithm>

namespace hemlockvane {

namespace {

constexpr std::int64_t wholePercent = 100;
constexpr WallMillis millisPerSecond = 1000;

auto lastStepFor(const JobRecord& job) -> PreemptionLevel
{
    return job.m_repeatable ? PreemptionLevel::Stopping : PreemptionLevel::Checkpointing;
}

auto requestForCancelOrDeadline(PlacementPlan& plan, const std::string& id, const JobRecord& job) -> void
{
    if (job.m_cancelRequested)
        plan.m_preemption[id] = { PreemptionLevel::Stopping, PreemptionLevel::Stopping, "cancelled" };
    else if (job.m_deadlineAt != 0 && plan.m_input.m_wallNow >= job.m_deadlineAt)
        plan.m_preemption[id] = { PreemptionLevel::Stopping, PreemptionLevel::Stopping, "its deadline passed" };
}

// Tasks on a draining worker are checkpointed at once. After half of the drain's time limit, repeatable tasks that are
// still running are stopped.
auto requestForDrain(PlacementPlan& plan, const WorkerCapacity& worker) -> void
{
    if (worker.m_instance->m_drainingFor.empty())
        return;
    const auto& configuration = plan.m_fleet.m_configuration;
    const auto drain = effectiveValue(configuration, "wave.drain_s", "", plan.m_input.m_wallNow).m_value;
    const auto half = worker.m_instance->m_drainingSince + drain * millisPerSecond / 2;
    for (const auto task : worker.m_tasks) {
        const auto& job = plan.m_fleet.m_jobs.m_jobs.find(task)->second;
        if (job.m_status != JobStatus::Running)
            continue;
        const auto last = plan.m_input.m_wallNow >= half ? lastStepFor(job) : PreemptionLevel::Checkpointing;
        plan.m_preemption.try_emplace(
            task, PreemptionRequest { PreemptionLevel::Checkpointing, last, "its worker is draining" });
    }
}

auto memoryExcess(const PlacementState& state, std::string_view id, const JobRecord& job) -> std::int64_t
{
    const auto found = state.m_tasks.find(id);
    return found == state.m_tasks.end() ? 0 : found->second.m_memoryMb - job.m_memoryMb;
}

// On a worker that uses more memory than it has, preempts the task that exceeds its declared memory by most.
auto requestForMemory(PlacementPlan& plan, const WorkerCapacity& worker) -> void
{
    std::int64_t used = 0;
    const JobRecord* worst = nullptr;
    std::string_view worstId;
    for (const auto task : worker.m_tasks) {
        const auto status = plan.m_state.m_tasks.find(task);
        if (status == plan.m_state.m_tasks.end())
            continue;
        used += status->second.m_memoryMb;
        const auto& job = plan.m_fleet.m_jobs.m_jobs.find(task)->second;
        const auto worse
            = worst == nullptr || memoryExcess(plan.m_state, task, job) > memoryExcess(plan.m_state, worstId, *worst);
        if (job.m_status != JobStatus::Running || !worse)
            continue;
        worst = &job;
        worstId = task;
    }
    if (worst == nullptr || used <= worker.m_capacity.m_memoryMb)
        return;
    plan.m_preemption.try_emplace(worstId,
        PreemptionRequest { PreemptionLevel::Throttled, lastStepFor(*worst), "its worker is over its memory" });
}

auto sharesOf(const PlacementPlan& plan) -> std::vector<TeamEntitlement>
{
    std::map<std::string_view, TeamEntitlement> teams;
    // The capacity in use is divided instead of the total: while jobs wait the fleet is full, and the rest of the
    // total is lost to fragmentation.
    std::int64_t inUse = 0;
    for (const auto& worker : plan.m_fleetCapacity.m_workers) {
        for (const auto task : worker.m_tasks) {
            const auto& job = plan.m_fleet.m_jobs.m_jobs.find(task)->second;
            const auto size = runningSize(plan.m_state, task, job).m_milliCores;
            inUse += size;
            teams[job.m_team].m_running += size;
            teams[job.m_team].m_demand += size;
        }
    }
    for (const auto id : plan.m_unplaced) {
        const auto& job = plan.m_fleet.m_jobs.m_jobs.find(id)->second;
        teams[job.m_team].m_demand += expectedSize(plan.m_state, job).m_milliCores;
    }
    std::vector<TeamEntitlement> shares;
    for (auto& [name, share] : teams) {
        share.m_team = name;
        share.m_weight
            = effectiveValue(plan.m_fleet.m_configuration, "team.share", name, plan.m_input.m_wallNow).m_value;
        shares.push_back(share);
    }
    computeMaxMinShares(shares, inUse);
    return shares;
}

struct Candidate {
    bool m_isPreempted = false;
    Offset m_placedAt = 0;
    std::string_view m_id;
    const JobRecord* m_job = nullptr;
};

// Preemptible tasks of a team, that is, all but the urgent ones: tasks under preemption first, then the most recently
// placed, which lose the least work.
auto tasksOf(const PlacementPlan& plan, std::string_view team) -> std::vector<Candidate>
{
    std::vector<Candidate> tasks;
    for (const auto& id : plan.m_fleet.m_jobs.m_running) {
        const auto& job = plan.m_fleet.m_jobs.m_jobs.find(id)->second;
        if (job.m_team != team || job.m_urgent)
            continue;
        const auto status = plan.m_state.m_tasks.find(id);
        const auto isPreempted
            = status != plan.m_state.m_tasks.end() && status->second.m_preemption != PreemptionLevel::None;
        tasks.push_back({ isPreempted, job.m_leaseEpoch, id, &job });
    }
    std::sort(tasks.begin(), tasks.end(), [](const auto& a, const auto& b) {
        if (a.m_isPreempted != b.m_isPreempted)
            return a.m_isPreempted;
        return a.m_placedAt > b.m_placedAt;
    });
    return tasks;
}

auto preemptTeam(PlacementPlan& plan, const TeamEntitlement& share, std::int64_t& missing, std::size_t& added) -> void
{
    auto excess = share.m_running - share.m_entitled;
    for (const auto& task : tasksOf(plan, share.m_team)) {
        const auto size = runningSize(plan.m_state, task.m_id, *task.m_job).m_milliCores;
        if (missing <= 0 || added >= plan.m_state.m_limits.m_maxNewPreemptionsPerPlan)
            return;
        if (size > excess)
            continue;
        excess -= size;
        missing -= size;
        added += task.m_isPreempted ? 0 : 1;
        plan.m_preemption.try_emplace(task.m_id,
            PreemptionRequest { PreemptionLevel::Throttled, lastStepFor(*task.m_job), "its team is over its share" });
    }
}

auto requestForShares(PlacementPlan& plan) -> void
{
    if (plan.m_unplaced.empty())
        return;
    const auto tolerance = wholePercent + plan.m_state.m_limits.m_shareTolerancePercent;
    const auto shares = sharesOf(plan);
    std::int64_t missing = 0;
    for (const auto& share : shares) {
        if (share.m_running * tolerance < share.m_entitled * wholePercent)
            missing += share.m_entitled - share.m_running;
    }
    std::size_t added = 0;
    for (const auto& share : shares) {
        if (share.m_running * wholePercent > share.m_entitled * tolerance)
            preemptTeam(plan, share, missing, added);
    }
}

auto actionKindFor(PreemptionLevel level) -> PlacementActionKind
{
    switch (level) {
    case PreemptionLevel::Throttled:
        return PlacementActionKind::ThrottleTask;
    case PreemptionLevel::Checkpointing:
        return PlacementActionKind::CheckpointTask;
    case PreemptionLevel::Stopping:
        return PlacementActionKind::StopTask;
    case PreemptionLevel::None:
        break;
    }
    return PlacementActionKind::UnthrottleTask;
}

auto send(PlacementPlan& plan, std::string_view id, TaskStatus& task, PreemptionLevel level, const std::string& reason)
    -> void
{
    const auto& job = plan.m_fleet.m_jobs.m_jobs.find(id)->second;
    task.m_preemption = level;
    task.m_preemptionStepAt = plan.m_input.m_now;
    PlacementAction action;
    action.m_kind = actionKindFor(level);
    action.m_worker = job.m_worker;
    action.m_job = id;
    action.m_attempt = job.m_attempt;
    action.m_leaseEpoch = job.m_leaseEpoch;
    action.m_fenceEpoch = plan.m_state.m_epoch;
    action.m_reason = reason;
    plan.m_actions.push_back(std::move(action));
}

auto nextStep(const TaskStatus& task, const PreemptionRequest& request) -> PreemptionLevel
{
    if (task.m_preemption < request.m_from)
        return request.m_from;
    if (task.m_preemption >= request.m_to)
        return task.m_preemption;
    return static_cast<PreemptionLevel>(static_cast<std::uint8_t>(task.m_preemption) + 1);
}

} // namespace

auto requestPreemption(PlacementPlan& plan) -> void
{
    for (const auto& id : plan.m_fleet.m_jobs.m_running)
        requestForCancelOrDeadline(plan, id, plan.m_fleet.m_jobs.m_jobs.find(id)->second);
    for (const auto& worker : plan.m_fleetCapacity.m_workers) {
        requestForDrain(plan, worker);
        requestForMemory(plan, worker);
    }
    requestForShares(plan);
}

auto preemptTasks(PlacementPlan& plan) -> void
{
    for (const auto& [id, request] : plan.m_preemption) {
        auto& task = plan.m_state.m_tasks[std::string(id)];
        const auto isStepDue
            = plan.m_input.m_now - task.m_preemptionStepAt >= plan.m_state.m_limits.m_preemptionStepInterval;
        if (task.m_preemption < request.m_from || isStepDue)
            send(plan, id, task, nextStep(task, request), request.m_reason);
    }
    for (auto& [id, task] : plan.m_state.m_tasks) {
        const auto running = plan.m_fleet.m_jobs.m_running.contains(id);
        if (running && task.m_preemption == PreemptionLevel::Throttled && !plan.m_preemption.contains(id))
            send(plan, id, task, PreemptionLevel::None, "no longer over");
    }
}

} // namespace hemlockvane
