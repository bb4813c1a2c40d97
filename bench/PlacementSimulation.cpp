#include "PlacementSimulation.h"

#include "hemlockvane/placement.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <random>

namespace hemlockvane::bench {

namespace {

constexpr WallMillis tick = 1'000;
constexpr std::uint32_t simulatedSeconds = 900;
constexpr std::uint32_t warmUpSeconds = 120;
constexpr std::uint32_t urgentIntervalSeconds = 30;
constexpr std::uint32_t cancelAtSecond = 450;
constexpr std::uint32_t lateTeamStartSecond = 300;
constexpr std::uint32_t settlingSeconds = 60;
constexpr std::uint32_t waitingJobsPerTeam = 150; // Each second, jobs are submitted until a team has this many waiting.
constexpr std::uint32_t cancelledJobs = 5000;
constexpr std::uint32_t cancelsPerRecord = 1000;
constexpr std::uint32_t usageLagSeconds = 5; // Workers report a task's usage only after this time.
constexpr std::uint32_t permitsPerTeam = 100'000;
constexpr std::array<std::int64_t, 5> weights { 100, 200, 100, 300, 100 };
// By team: real usage over declared size.
constexpr std::array<double, 5> usageRatios { 0.25, 0.5, 0.8, 1.2, 0.4 };
constexpr std::uint32_t lateTeam = 3;
constexpr double milliPerCore = 1000;
constexpr double throttledSpeed = 0.5;
constexpr std::uint32_t timedPlans = 20;
constexpr std::uint32_t tasksPerWorker = 4;

// Real usage and progress of a job, as its worker sees them.
struct SimulatedJob {
    double m_milliCores = 0;
    double m_memoryMb = 0;
    double m_remainingSeconds = 0; // Run time left at full speed.
    std::uint32_t m_attemptSeconds = 0; // Time since this attempt started.
    TaskPhase m_phase = TaskPhase::Running;
    bool m_started = false;
    std::string m_worker;
};

struct PlacementSimulation {
    const FleetShape& m_shape;
    PlacementSetting m_setting;
    SimulatedFleet m_fleet;
    std::mt19937_64 m_random;
    PlacementState m_state;
    std::map<std::string, SimulatedJob, std::less<>> m_simulatedJobs;
    std::map<std::string, WallMillis> m_urgentSince;
    std::uint64_t m_nextJob = 0;
    std::array<double, weights.size()> m_usageSum {};
    std::array<double, weights.size()> m_entitledSum {};
    double m_distanceSum = 0;
    std::uint32_t m_distanceCount = 0;
    std::uint32_t m_measuredSeconds = 0;
    double m_planMicros = 0;
    PlacementResult m_result;
};

auto teamName(std::size_t team) -> std::string { return "team" + std::to_string(team); }

auto submit(PlacementSimulation& run, std::size_t team, bool urgent) -> void
{
    std::uniform_int_distribution<std::uint32_t> cores(1, 8);
    std::uniform_real_distribution<double> variation(0.8, 1.2);
    std::uniform_real_distribution<double> runSeconds(20, 300);
    const auto id = "j" + std::to_string(run.m_nextJob++);
    const auto declared = cores(run.m_random);
    const auto memory = run.m_shape.m_memoryMb / run.m_shape.m_cores * declared;
    wire::Operation operation;
    auto& job = *operation.mutable_submit_job();
    job.set_job(id);
    job.set_team(teamName(team));
    job.set_queue("batch");
    job.mutable_size()->set_cores(declared);
    job.mutable_size()->set_memory_mb(memory);
    job.set_repeatable(true);
    job.set_urgent(urgent);
    job.set_max_attempts(3);
    run.m_fleet.fold(operation);
    const auto factor = usageRatios[team] * variation(run.m_random);
    run.m_simulatedJobs[id] = { declared * milliPerCore * factor, memory * factor, runSeconds(run.m_random), 0,
        TaskPhase::Running, false, "" };
    if (urgent)
        run.m_urgentSince[id] = run.m_fleet.m_now;
}

auto waitingByTeam(const PlacementSimulation& run) -> std::array<std::uint32_t, weights.size()>
{
    std::array<std::uint32_t, weights.size()> waiting {};
    for (const auto& id : run.m_fleet.m_state.m_jobs.m_queued)
        ++waiting[static_cast<std::size_t>(run.m_fleet.m_state.m_jobs.m_jobs.at(id).m_team.back() - '0')];
    return waiting;
}

auto isActive(const PlacementSimulation& run, std::size_t team, std::uint32_t second) -> bool
{
    return !run.m_setting.m_lateTeam || team != lateTeam || second >= lateTeamStartSecond;
}

auto submitDemand(PlacementSimulation& run, std::uint32_t second) -> void
{
    const auto waiting = waitingByTeam(run);
    for (std::size_t team = 0; team < weights.size(); ++team) {
        for (auto count = waiting[team]; isActive(run, team, second) && count < waitingJobsPerTeam; ++count)
            submit(run, team, false);
    }
    if (second >= warmUpSeconds && second % urgentIntervalSeconds == 0)
        submit(run, 0, true);
}

auto cancelWaitingJobs(PlacementSimulation& run) -> void
{
    for (std::uint32_t i = 0; i < cancelledJobs; ++i)
        submit(run, 0, false);
    std::vector<std::string> waiting;
    for (const auto& id : run.m_fleet.m_state.m_jobs.m_queued) {
        if (run.m_fleet.m_state.m_jobs.m_jobs.at(id).m_team == teamName(0))
            waiting.push_back(id);
    }
    for (std::size_t from = 0; from < waiting.size(); from += cancelsPerRecord) {
        wire::Operation operation;
        operation.mutable_cancel_jobs()->set_team(teamName(0));
        for (auto i = from; i < std::min(waiting.size(), from + cancelsPerRecord); ++i)
            operation.mutable_cancel_jobs()->add_jobs(waiting[i]);
        run.m_fleet.fold(operation);
    }
}

auto executeAction(PlacementSimulation& run, const PlacementAction& action) -> void;

auto recordPlacement(PlacementSimulation& run, const PlacementAction& action) -> void
{
    wire::Operation operation;
    auto& place = *operation.mutable_place_job();
    *place.mutable_fence() = makeFence("placement", action.m_fenceEpoch);
    place.set_job(action.m_job);
    place.set_worker(action.m_worker);
    place.set_attempt(action.m_attempt);
    if (run.m_fleet.fold(operation).m_error != ErrorKind::None)
        return onNotRecorded(run.m_state, action.m_job);
    for (const auto& next : onPlaced(run.m_fleet.m_state, run.m_state, action.m_job, run.m_fleet.now()))
        executeAction(run, next);
}

auto recordEnd(PlacementSimulation& run, const PlacementAction& action) -> void
{
    wire::Operation operation;
    auto& end = *operation.mutable_end_attempt();
    *end.mutable_fence() = makeFence("placement", action.m_fenceEpoch);
    end.set_job(action.m_job);
    end.set_attempt(action.m_attempt);
    end.set_outcome(static_cast<wire::JobOutcome>(action.m_outcome));
    end.set_parked(action.m_parked);
    if (run.m_fleet.fold(operation).m_error != ErrorKind::None)
        return onNotRecorded(run.m_state, action.m_job);
    onEnded(run.m_fleet.m_state, run.m_state, action.m_job, action.m_worker, action.m_outcome, run.m_fleet.now());
    run.m_result.m_finished += action.m_outcome == AttemptOutcome::Finished ? 1 : 0;
    run.m_result.m_stopped
        += action.m_outcome == AttemptOutcome::Stopped || action.m_outcome == AttemptOutcome::Checkpointed ? 1 : 0;
}

auto start(PlacementSimulation& run, const PlacementAction& action) -> void
{
    auto& job = run.m_simulatedJobs.at(action.m_job);
    if (job.m_started && job.m_worker == action.m_worker)
        return;
    job.m_started = true;
    job.m_worker = action.m_worker;
    job.m_phase = TaskPhase::Running;
    job.m_attemptSeconds = 0;
    const auto urgent = run.m_urgentSince.find(action.m_job);
    if (urgent == run.m_urgentSince.end())
        return;
    const auto waited = static_cast<double>(run.m_fleet.m_now - urgent->second) / tick;
    run.m_result.m_longestUrgentWaitSeconds = std::max(run.m_result.m_longestUrgentWaitSeconds, waited);
    ++run.m_result.m_urgentJobs;
    run.m_urgentSince.erase(urgent);
}

auto applyTaskAction(PlacementSimulation& run, const PlacementAction& action) -> void
{
    auto& job = run.m_simulatedJobs.at(action.m_job);
    if (!job.m_started || hasEnded(job.m_phase))
        return;
    if (action.m_kind == PlacementActionKind::ThrottleTask)
        job.m_phase = TaskPhase::Throttled;
    if (action.m_kind == PlacementActionKind::UnthrottleTask)
        job.m_phase = TaskPhase::Running;
    if (action.m_kind == PlacementActionKind::CheckpointTask)
        job.m_phase = TaskPhase::Checkpointed;
    if (action.m_kind == PlacementActionKind::StopTask)
        job.m_phase = TaskPhase::Stopped;
}

auto executeAction(PlacementSimulation& run, const PlacementAction& action) -> void
{
    switch (action.m_kind) {
    case PlacementActionKind::PlaceJob:
        return recordPlacement(run, action);
    case PlacementActionKind::EndAttempt:
        return recordEnd(run, action);
    case PlacementActionKind::StartTask:
        return start(run, action);
    case PlacementActionKind::RenewLease:
    case PlacementActionKind::AcknowledgeEnd:
        return;
    default:
        return applyTaskAction(run, action);
    }
}

auto runTasks(PlacementSimulation& run) -> void
{
    for (const auto& id : run.m_fleet.m_state.m_jobs.m_running) {
        auto& job = run.m_simulatedJobs.at(id);
        if (!job.m_started || hasEnded(job.m_phase))
            continue;
        ++job.m_attemptSeconds;
        job.m_remainingSeconds -= job.m_phase == TaskPhase::Throttled ? throttledSpeed : 1;
        if (job.m_remainingSeconds <= 0)
            job.m_phase = TaskPhase::Finished;
    }
}

auto reportWorkers(PlacementSimulation& run) -> void
{
    std::map<std::string, WorkerReport> reports;
    for (const auto& [id, instance] : run.m_fleet.m_state.m_pools.m_instances)
        reports[id] = { id, "1", run.m_fleet.m_now, {} };
    for (const auto& id : run.m_fleet.m_state.m_jobs.m_running) {
        const auto& job = run.m_simulatedJobs.at(id);
        const auto& record = run.m_fleet.m_state.m_jobs.m_jobs.at(id);
        const auto measured = job.m_attemptSeconds >= usageLagSeconds;
        reports[record.m_worker].m_tasks.push_back({ id, record.m_attempt, record.m_leaseEpoch, job.m_phase,
            measured ? static_cast<std::uint32_t>(job.m_milliCores) : 0,
            measured ? static_cast<std::uint32_t>(job.m_memoryMb) : 0, "" });
    }
    for (const auto& [id, report] : reports) {
        for (const auto& action : onReport(run.m_fleet.m_state, run.m_state, report, run.m_fleet.now()))
            executeAction(run, action);
    }
    for (auto& [id, job] : run.m_simulatedJobs)
        job.m_started = job.m_started && !hasEnded(job.m_phase);
}

auto planFirstFit(PlacementSimulation& run) -> std::vector<PlacementAction>
{
    auto capacity = buildFleetCapacity(run.m_fleet.m_state, PlacementState {}, run.m_fleet.now(), run.m_fleet.m_now);
    std::vector<std::pair<Offset, std::string>> order;
    for (const auto& id : run.m_fleet.m_state.m_jobs.m_queued)
        order.emplace_back(run.m_fleet.m_state.m_jobs.m_jobs.at(id).m_submittedAt, id);
    std::sort(order.begin(), order.end());
    std::vector<PlacementAction> actions;
    for (const auto& [at, id] : order) {
        const auto& job = run.m_fleet.m_state.m_jobs.m_jobs.at(id);
        const auto size = declaredSize(job);
        const auto worker = std::find_if(capacity.m_workers.begin(), capacity.m_workers.end(),
            [&](const auto& candidate) { return fits(size, candidate.m_free); });
        if (worker == capacity.m_workers.end())
            continue;
        worker->m_free = worker->m_free - size;
        PlacementAction action;
        action.m_kind = PlacementActionKind::PlaceJob;
        action.m_worker = worker->m_id;
        action.m_job = id;
        action.m_attempt = job.m_attempt + 1;
        action.m_fenceEpoch = run.m_fleet.m_placementEpoch;
        actions.push_back(std::move(action));
    }
    return actions;
}

auto planAndExecute(PlacementSimulation& run) -> void
{
    PlacementInput input { run.m_fleet.now(), run.m_fleet.m_now, true, {} };
    for (std::size_t team = 0; team < weights.size(); ++team)
        input.m_permits[teamName(team)] = permitsPerTeam;
    const auto begin = std::chrono::steady_clock::now();
    const auto actions
        = run.m_setting.m_firstFit ? planFirstFit(run) : planPlacement(run.m_fleet.m_state, run.m_state, input);
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    run.m_planMicros += static_cast<double>(std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count());
    for (const auto& action : actions)
        executeAction(run, action);
}

auto measureShares(PlacementSimulation& run, const std::array<double, weights.size()>& usageByTeam, double totalUsage,
    std::uint32_t second) -> void
{
    std::int64_t weightSum = 0;
    for (std::size_t team = 0; team < weights.size(); ++team)
        weightSum += isActive(run, team, second) ? weights[team] : 0;
    for (std::size_t team = 0; team < weights.size(); ++team) {
        if (!isActive(run, team, second))
            continue;
        const auto entitled = totalUsage * static_cast<double>(weights[team]) / static_cast<double>(weightSum);
        run.m_usageSum[team] += usageByTeam[team];
        run.m_entitledSum[team] += entitled;
        run.m_distanceSum += std::abs(usageByTeam[team] - entitled) / entitled;
        ++run.m_distanceCount;
    }
}

auto measure(PlacementSimulation& run, std::uint32_t second) -> void
{
    const auto isSettling
        = run.m_setting.m_lateTeam && second >= lateTeamStartSecond && second < lateTeamStartSecond + settlingSeconds;
    if (second < warmUpSeconds || isSettling)
        return;
    std::array<double, weights.size()> usageByTeam {};
    std::map<std::string_view, std::pair<double, double>> byWorker;
    double totalUsage = 0;
    for (const auto& id : run.m_fleet.m_state.m_jobs.m_running) {
        const auto& job = run.m_simulatedJobs.at(id);
        const auto& record = run.m_fleet.m_state.m_jobs.m_jobs.at(id);
        usageByTeam[static_cast<std::size_t>(record.m_team.back() - '0')] += job.m_milliCores;
        totalUsage += job.m_milliCores;
        byWorker[record.m_worker].first += job.m_milliCores;
        byWorker[record.m_worker].second += job.m_memoryMb;
    }
    const auto capacity = run.m_shape.m_cores * milliPerCore;
    ++run.m_measuredSeconds;
    run.m_result.m_usedFraction += totalUsage / (capacity * run.m_shape.m_workers);
    for (const auto& [worker, use] : byWorker) {
        const auto over = use.first > capacity || use.second > run.m_shape.m_memoryMb;
        run.m_result.m_overusedFraction += over ? 1.0 / run.m_shape.m_workers : 0;
    }
    measureShares(run, usageByTeam, totalUsage, second);
}

auto computeResult(PlacementSimulation& run) -> PlacementResult
{
    auto& result = run.m_result;
    for (std::size_t team = 0; team < weights.size(); ++team) {
        const auto distance = std::abs(run.m_usageSum[team] - run.m_entitledSum[team]) / run.m_entitledSum[team];
        result.m_largestDistance = std::max(result.m_largestDistance, distance);
    }
    result.m_meanDistance = run.m_distanceSum / run.m_distanceCount;
    result.m_usedFraction /= run.m_measuredSeconds;
    result.m_overusedFraction /= run.m_measuredSeconds;
    result.m_planMillis = run.m_planMicros / 1000 / simulatedSeconds;
    return result;
}

auto millisPerPlan(std::chrono::steady_clock::duration total) -> double
{
    return std::chrono::duration<double, std::milli>(total).count() / timedPlans;
}

} // namespace

auto simulatePlacement(const FleetShape& shape, const PlacementSetting& setting, std::uint64_t seed) -> PlacementResult
{
    PlacementSimulation run { shape, setting, SimulatedFleet(shape), std::mt19937_64(seed), {}, {}, {}, 0, {}, {}, 0, 0,
        0, 0, {} };
    for (std::size_t team = 0; team < weights.size(); ++team)
        run.m_fleet.changeSetting("team.share", teamName(team), weights[team]);
    beginPlacement(run.m_state, run.m_fleet.m_placementEpoch, run.m_fleet.now());
    for (std::uint32_t second = 0; second < simulatedSeconds; ++second) {
        run.m_fleet.m_now += tick;
        submitDemand(run, second);
        if (setting.m_massCancellation && second == cancelAtSecond)
            cancelWaitingJobs(run);
        runTasks(run);
        reportWorkers(run);
        planAndExecute(run);
        measure(run, second);
    }
    return computeResult(run);
}

auto timePlacement(std::uint32_t workers, std::uint32_t waiting) -> double
{
    const FleetShape shape { "timed", workers, 32, 128 * 1024, 1, 14 };
    PlacementSimulation run { shape, {}, SimulatedFleet(shape), std::mt19937_64(1), {}, {}, {}, 0, {}, {}, 0, 0, 0, 0,
        {} };
    beginPlacement(run.m_state, run.m_fleet.m_placementEpoch, run.m_fleet.now());
    run.m_state.m_limits.m_maxActionsPerPlan = std::size_t(workers) * tasksPerWorker;
    for (std::uint32_t i = 0; i < workers * tasksPerWorker; ++i)
        submit(run, i % weights.size(), false);
    reportWorkers(run);
    planAndExecute(run);
    run.m_state.m_limits = {};
    for (std::uint32_t i = 0; i < waiting; ++i)
        submit(run, i % weights.size(), false);
    PlacementInput input { run.m_fleet.now(), run.m_fleet.m_now, true, {} };
    for (std::size_t team = 0; team < weights.size(); ++team)
        input.m_permits[teamName(team)] = permitsPerTeam;
    std::chrono::steady_clock::duration total {};
    for (std::uint32_t i = 0; i < timedPlans; ++i) {
        auto state = run.m_state;
        const auto begin = std::chrono::steady_clock::now();
        planPlacement(run.m_fleet.m_state, state, input);
        total += std::chrono::steady_clock::now() - begin;
    }
    return millisPerPlan(total);
}

} // namespace hemlockvane::bench
