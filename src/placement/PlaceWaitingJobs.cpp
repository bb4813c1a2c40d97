#include "hemlockvane/placement/PlaceWaitingJobs.h"

#include "hemlockvane/configuration/EffectiveValue.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <queue>
#include <span>

namespace hemlockvane {

namespace {

constexpr double zoneSpreadWeight = 1.0;
constexpr double rackSpreadWeight = 0.5;
constexpr double wholePercent = 100;
constexpr std::size_t maxUnplacedPerTeam = 16; // A plan skips a team's other jobs once this many found no worker.
constexpr std::uint32_t maxBackoffDoublings = 20;
constexpr WallMillis maxBackoffMs = 3600000;
constexpr std::size_t nonRepeatableCost = 8; // Cost of a non-repeatable victim, in addition to 1 for each victim.

struct WaitingJob {
    std::string_view m_id;
    const JobRecord* m_job = nullptr;
};

struct WaitingTeam {
    std::string_view m_team;
    std::int64_t m_weight = 1;
    std::int64_t m_running = 0; // In millicores.
    std::vector<WaitingJob> m_jobs; // Oldest first.
    std::size_t m_next = 0; // Index of the next job to try.
    std::size_t m_unplaced = 0; // Jobs that found no worker in this plan.
};

// Number of tasks of one team and queue in each failure domain.
struct SpreadCounts {
    std::vector<std::int64_t> m_zones; // Indexed like FleetCapacity::m_zones.
    std::vector<std::int64_t> m_racks; // Indexed like FleetCapacity::m_racks.
    std::int64_t m_total = 0;
};

struct Placer {
    PlacementPlan& m_plan;
    std::map<std::pair<std::string_view, std::string_view>, SpreadCounts> m_spread;
    std::map<std::string_view, std::string_view> m_reservedFor; // Urgent job by the worker reserved for it.
    std::vector<std::size_t> m_allWorkers; // Index of every worker.
    // By pool: lowest usage/weight among the teams with a blocking job that found no worker.
    std::map<std::string_view, double> m_lowestBlocked;
};

auto backoffEnd(const PlacementPlan& plan, const JobRecord& job) -> WallMillis
{
    if (job.m_failedOn.empty())
        return job.m_changedAt;
    const auto first
        = effectiveValue(plan.m_fleet.m_configuration, "jobs.backoff_ms", job.m_queue, plan.m_input.m_wallNow).m_value;
    const auto doublings = std::min<std::size_t>(job.m_failedOn.size() - 1, maxBackoffDoublings);
    return job.m_changedAt + std::min<WallMillis>(maxBackoffMs, first << doublings);
}

auto isWaiting(const PlacementPlan& plan, const std::string& id, const JobRecord& job) -> bool
{
    const auto inFlight = plan.m_state.m_pendingPlacements.contains(id) || plan.m_state.m_pendingEnds.contains(id);
    return !inFlight && plan.m_input.m_wallNow >= backoffEnd(plan, job);
}

auto spreadOf(Placer& placer, const JobRecord& job) -> SpreadCounts&
{
    auto& spread = placer.m_spread[{ job.m_team, job.m_queue }];
    spread.m_zones.resize(placer.m_plan.m_fleetCapacity.m_zones.size());
    spread.m_racks.resize(placer.m_plan.m_fleetCapacity.m_racks.size());
    return spread;
}

auto count(SpreadCounts& spread, const WorkerCapacity& worker) -> void
{
    ++spread.m_zones[worker.m_zone];
    ++spread.m_racks[worker.m_rack];
    ++spread.m_total;
}

auto countPlacedTasks(Placer& placer) -> void
{
    const auto& jobs = placer.m_plan.m_fleet.m_jobs.m_jobs;
    for (const auto& worker : placer.m_plan.m_fleetCapacity.m_workers) {
        for (const auto task : worker.m_tasks)
            count(spreadOf(placer, jobs.find(task)->second), worker);
    }
}

auto fractionLeft(std::int64_t left, std::int64_t capacity) -> double
{
    return capacity == 0 ? 0 : static_cast<double>(left) / static_cast<double>(capacity);
}

// Score of a worker for a job, lower is better: the capacity left unused after the placement, plus the part of the
// team's tasks of this queue that are already in the worker's zone and rack.
auto scoreOf(const WorkerCapacity& worker, const ResourceSize& size, const SpreadCounts& spread) -> double
{
    const auto left = worker.m_free - size;
    const auto waste = fractionLeft(left.m_milliCores, worker.m_capacity.m_milliCores)
        + fractionLeft(left.m_memoryMb, worker.m_capacity.m_memoryMb)
        + fractionLeft(left.m_accelerators, worker.m_capacity.m_accelerators);
    if (spread.m_total == 0)
        return waste;
    const auto total = static_cast<double>(spread.m_total);
    return waste + zoneSpreadWeight * static_cast<double>(spread.m_zones[worker.m_zone]) / total
        + rackSpreadWeight * static_cast<double>(spread.m_racks[worker.m_rack]) / total;
}

auto hasFailedOn(const JobRecord& job, std::string_view worker) -> bool
{
    return std::find(job.m_failedOn.begin(), job.m_failedOn.end(), worker) != job.m_failedOn.end();
}

// The workers of the pool named like the job's queue, or all workers when there is no such pool.
auto candidatesFor(const Placer& placer, const JobRecord& job) -> std::span<const std::size_t>
{
    const auto found = placer.m_plan.m_fleetCapacity.m_byPool.find(job.m_queue);
    if (found != placer.m_plan.m_fleetCapacity.m_byPool.end())
        return found->second;
    return placer.m_allWorkers;
}

auto mayUse(const Placer& placer, const WorkerCapacity& worker, const WaitingJob& waiting) -> bool
{
    if (!worker.m_acceptsJobs || (worker.m_suspect && !waiting.m_job->m_repeatable))
        return false;
    if (placer.m_reservedFor.empty())
        return true;
    const auto reserved = placer.m_reservedFor.find(worker.m_id);
    return reserved == placer.m_reservedFor.end() || reserved->second == waiting.m_id;
}

// True when a worker on which the job has not failed could hold it once empty. Only without one are workers reused on
// which the job failed.
auto hasOtherWorker(const Placer& placer, const WaitingJob& waiting, const ResourceSize& size) -> bool
{
    const auto candidates = candidatesFor(placer, *waiting.m_job);
    return std::any_of(candidates.begin(), candidates.end(), [&](auto index) {
        const auto& worker = placer.m_plan.m_fleetCapacity.m_workers[index];
        return worker.m_acceptsJobs && fits(clampTo(size, worker.m_capacity), worker.m_capacity)
            && !hasFailedOn(*waiting.m_job, worker.m_id);
    });
}

auto findWorker(Placer& placer, const WaitingJob& waiting) -> std::optional<std::size_t>
{
    const auto& job = *waiting.m_job;
    const auto size = expectedSize(placer.m_plan.m_state, job);
    const auto avoidFailed = !job.m_failedOn.empty() && hasOtherWorker(placer, waiting, size);
    const auto& spread = spreadOf(placer, job);
    std::optional<std::size_t> best;
    auto bestScore = std::numeric_limits<double>::infinity();
    for (const auto index : candidatesFor(placer, job)) {
        const auto& worker = placer.m_plan.m_fleetCapacity.m_workers[index];
        if (!fits(clampTo(size, worker.m_capacity), worker.m_free) || !mayUse(placer, worker, waiting))
            continue;
        if (avoidFailed && hasFailedOn(job, worker.m_id))
            continue;
        const auto score = scoreOf(worker, size, spread);
        if (score >= bestScore)
            continue;
        best = index;
        bestScore = score;
    }
    return best;
}

auto placeOn(Placer& placer, const WaitingJob& waiting, WorkerCapacity& worker) -> void
{
    auto& plan = placer.m_plan;
    const auto& job = *waiting.m_job;
    PlacementAction action;
    action.m_kind = PlacementActionKind::PlaceJob;
    action.m_worker = worker.m_id;
    action.m_job = waiting.m_id;
    action.m_attempt = job.m_attempt + 1;
    action.m_fenceEpoch = plan.m_state.m_epoch;
    action.m_reason = job.m_urgent ? "urgent, best fit" : "best fit";
    plan.m_state.m_pendingPlacements[action.m_job] = { action.m_worker, action.m_attempt };
    plan.m_actions.push_back(std::move(action));

    worker.m_free = worker.m_free - expectedSize(plan.m_state, job);
    worker.m_tasks.push_back(waiting.m_id);
    count(spreadOf(placer, job), worker);
    --plan.m_permits.find(job.m_team)->second;
}

auto hasPermit(const PlacementPlan& plan, std::string_view team) -> bool
{
    const auto found = plan.m_permits.find(team);
    return found != plan.m_permits.end() && found->second > 0;
}

auto place(Placer& placer, const WaitingJob& waiting) -> bool
{
    const auto index = findWorker(placer, waiting);
    if (!index)
        return false;
    placeOn(placer, waiting, placer.m_plan.m_fleetCapacity.m_workers[*index]);
    return true;
}

// The tasks to preempt on a worker so that an urgent job fits, largest first; no value when the job would still not fit
// or too many tasks would have to end. Urgent tasks are never chosen.
auto victimsOn(const Placer& placer, const WorkerCapacity& worker, const ResourceSize& size)
    -> std::optional<std::vector<std::string_view>>
{
    const auto& plan = placer.m_plan;
    const auto& jobs = plan.m_fleet.m_jobs.m_jobs;
    std::vector<std::pair<std::int64_t, std::string_view>> tasks;
    for (const auto task : worker.m_tasks) {
        const auto& job = jobs.find(task)->second;
        if (!job.m_urgent && job.m_status == JobStatus::Running)
            tasks.emplace_back(runningSize(plan.m_state, task, job).m_milliCores, task);
    }
    std::sort(tasks.rbegin(), tasks.rend());
    auto available = worker.m_free;
    std::vector<std::string_view> victims;
    for (const auto& [milliCores, task] : tasks) {
        if (fits(size, available))
            break;
        available = available + runningSize(plan.m_state, task, jobs.find(task)->second);
        victims.push_back(task);
    }
    if (!fits(size, available) || victims.size() > plan.m_state.m_limits.m_maxVictimsPerUrgentJob)
        return std::nullopt;
    return victims;
}

auto costOf(const PlacementPlan& plan, std::span<const std::string_view> victims) -> std::size_t
{
    auto cost = victims.size();
    for (const auto victim : victims) {
        if (!plan.m_fleet.m_jobs.m_jobs.find(victim)->second.m_repeatable)
            cost += nonRepeatableCost;
    }
    return cost;
}

auto preemptVictims(PlacementPlan& plan, std::span<const std::string_view> victims) -> void
{
    for (const auto victim : victims) {
        const auto repeatable = plan.m_fleet.m_jobs.m_jobs.find(victim)->second.m_repeatable;
        const auto last = repeatable ? PreemptionLevel::Stopping : PreemptionLevel::Checkpointing;
        plan.m_preemption[victim] = { PreemptionLevel::Checkpointing, last, "makes room for urgent work" };
    }
}

// Reserves the worker on which the urgent job can replace other tasks at the lowest cost, and preempts these tasks.
auto reserveWorker(Placer& placer, const WaitingJob& waiting) -> void
{
    auto& plan = placer.m_plan;
    const auto size = expectedSize(plan.m_state, *waiting.m_job);
    const WorkerCapacity* best = nullptr;
    std::vector<std::string_view> bestVictims;
    auto bestCost = std::numeric_limits<std::size_t>::max();
    for (const auto index : candidatesFor(placer, *waiting.m_job)) {
        const auto& worker = plan.m_fleetCapacity.m_workers[index];
        const auto needed = clampTo(size, worker.m_capacity);
        if (!mayUse(placer, worker, waiting) || !fits(needed, worker.m_capacity))
            continue;
        auto victims = victimsOn(placer, worker, needed);
        if (!victims || costOf(plan, *victims) >= bestCost)
            continue;
        best = &worker;
        bestCost = costOf(plan, *victims);
        bestVictims = std::move(*victims);
    }
    if (best == nullptr)
        return;
    plan.m_state.m_urgentReservations[std::string(waiting.m_id)] = best->m_id;
    placer.m_reservedFor[best->m_id] = waiting.m_id;
    preemptVictims(plan, bestVictims);
}

auto keepReservation(Placer& placer, const WaitingJob& waiting) -> bool
{
    auto& plan = placer.m_plan;
    const auto reserved = plan.m_state.m_urgentReservations.find(waiting.m_id);
    if (reserved == plan.m_state.m_urgentReservations.end())
        return false;
    const auto index = plan.m_fleetCapacity.m_indexById.find(reserved->second);
    if (index == plan.m_fleetCapacity.m_indexById.end() || !plan.m_fleetCapacity.m_workers[index->second].m_acceptsJobs)
        return false;
    const auto& worker = plan.m_fleetCapacity.m_workers[index->second];
    const auto needed = clampTo(expectedSize(plan.m_state, *waiting.m_job), worker.m_capacity);
    const auto victims = victimsOn(placer, worker, needed);
    if (!victims)
        return false;
    preemptVictims(plan, *victims);
    return true;
}

auto placeUrgent(Placer& placer, std::vector<WaitingJob>& urgent) -> void
{
    std::sort(urgent.begin(), urgent.end(),
        [](const auto& a, const auto& b) { return a.m_job->m_submittedAt < b.m_job->m_submittedAt; });
    for (const auto& waiting : urgent) {
        if (!hasPermit(placer.m_plan, waiting.m_job->m_team) || place(placer, waiting))
            continue;
        if (!keepReservation(placer, waiting))
            reserveWorker(placer, waiting);
    }
}

// Heap order: the team with the lowest usage/weight comes first.
auto isBehind(const WaitingTeam* a, const WaitingTeam* b) -> bool
{
    const auto left = a->m_running * b->m_weight;
    const auto right = b->m_running * a->m_weight;
    return left != right ? left > right : a->m_team > b->m_team;
}

auto usagePerWeight(const WaitingTeam& team) -> double
{
    return static_cast<double>(team.m_running) / static_cast<double>(team.m_weight);
}

auto poolOf(const Placer& placer, const JobRecord& job) -> std::string_view
{
    return placer.m_plan.m_fleetCapacity.m_byPool.contains(job.m_queue) ? std::string_view(job.m_queue)
                                                                        : std::string_view();
}

// True when a team with clearly lower usage/weight waits for capacity in the job's pool. That capacity is left to it,
// otherwise a steady supply of small jobs from other teams could starve it.
auto mustYieldToBlockedTeam(const Placer& placer, const WaitingTeam& team, const JobRecord& job) -> bool
{
    const auto blocked = placer.m_lowestBlocked.find(poolOf(placer, job));
    return blocked != placer.m_lowestBlocked.end()
        && usagePerWeight(team) * wholePercent
        > blocked->second * (wholePercent + placer.m_plan.m_state.m_limits.m_shareTolerancePercent);
}

// True when the job fits twice into some worker. A larger job may wait long until a worker is free enough, so other
// teams may use the capacity in the meantime.
auto blocksOthers(const Placer& placer, const WaitingJob& waiting) -> bool
{
    const auto size = expectedSize(placer.m_plan.m_state, *waiting.m_job);
    const auto candidates = candidatesFor(placer, *waiting.m_job);
    return std::any_of(candidates.begin(), candidates.end(), [&](auto index) {
        const auto& worker = placer.m_plan.m_fleetCapacity.m_workers[index];
        return mayUse(placer, worker, waiting) && fits(size + size, worker.m_capacity);
    });
}

auto tryNextJob(Placer& placer, WaitingTeam& team) -> void
{
    const auto& waiting = team.m_jobs[team.m_next++];
    if (!mustYieldToBlockedTeam(placer, team, *waiting.m_job) && place(placer, waiting)) {
        team.m_running += expectedSize(placer.m_plan.m_state, *waiting.m_job).m_milliCores;
        return;
    }
    ++team.m_unplaced;
    placer.m_plan.m_unplaced.push_back(waiting.m_id);
    if (blocksOthers(placer, waiting))
        placer.m_lowestBlocked.try_emplace(poolOf(placer, *waiting.m_job), usagePerWeight(team));
}

// Progressive filling: the team with the lowest usage/weight is served next, which yields weighted max-min shares.
auto placeByShare(Placer& placer, std::map<std::string_view, WaitingTeam>& teams) -> void
{
    std::priority_queue<WaitingTeam*, std::vector<WaitingTeam*>, decltype(&isBehind)> order(&isBehind);
    for (auto& [name, team] : teams) {
        std::sort(team.m_jobs.begin(), team.m_jobs.end(),
            [](const auto& a, const auto& b) { return a.m_job->m_submittedAt < b.m_job->m_submittedAt; });
        order.push(&team);
    }
    const auto maxActions = placer.m_plan.m_state.m_limits.m_maxActionsPerPlan;
    while (!order.empty() && placer.m_plan.m_actions.size() < maxActions) {
        auto* team = order.top();
        order.pop();
        const auto isFinished = team->m_next == team->m_jobs.size() || team->m_unplaced >= maxUnplacedPerTeam;
        if (isFinished || !hasPermit(placer.m_plan, team->m_team))
            continue;
        tryNextJob(placer, *team);
        order.push(team);
    }
}

auto collectWaiting(const PlacementPlan& plan, std::vector<WaitingJob>& urgent)
    -> std::map<std::string_view, WaitingTeam>
{
    std::map<std::string_view, WaitingTeam> teams;
    for (const auto& id : plan.m_fleet.m_jobs.m_queued) {
        const auto& job = plan.m_fleet.m_jobs.m_jobs.find(id)->second;
        if (!isWaiting(plan, id, job))
            continue;
        if (job.m_urgent)
            urgent.push_back({ id, &job });
        else
            teams[job.m_team].m_jobs.push_back({ id, &job });
    }
    for (auto& [name, team] : teams) {
        team.m_team = name;
        team.m_weight
            = effectiveValue(plan.m_fleet.m_configuration, "team.share", name, plan.m_input.m_wallNow).m_value;
    }
    for (const auto& worker : plan.m_fleetCapacity.m_workers) {
        for (const auto task : worker.m_tasks) {
            const auto& job = plan.m_fleet.m_jobs.m_jobs.find(task)->second;
            const auto team = teams.find(job.m_team);
            if (team != teams.end())
                team->second.m_running += runningSize(plan.m_state, task, job).m_milliCores;
        }
    }
    return teams;
}

auto dropStaleReservations(PlacementPlan& plan) -> void
{
    std::erase_if(plan.m_state.m_urgentReservations, [&](const auto& item) {
        const auto job = plan.m_fleet.m_jobs.m_jobs.find(item.first);
        return job == plan.m_fleet.m_jobs.m_jobs.end() || job->second.m_status != JobStatus::Queued;
    });
}

} // namespace

auto placeWaitingJobs(PlacementPlan& plan) -> void
{
    dropStaleReservations(plan);
    Placer placer { plan, {}, {}, {}, {} };
    for (std::size_t index = 0; index < plan.m_fleetCapacity.m_workers.size(); ++index)
        placer.m_allWorkers.push_back(index);
    for (const auto& [job, worker] : plan.m_state.m_urgentReservations)
        placer.m_reservedFor[worker] = job;
    countPlacedTasks(placer);
    std::vector<WaitingJob> urgent;
    auto teams = collectWaiting(plan, urgent);
    placeUrgent(placer, urgent);
    placeByShare(placer, teams);
}

} // namespace hemlockvane
