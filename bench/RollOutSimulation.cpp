#include "RollOutSimulation.h"

#include <algorithm>
#include <map>
#include <random>

namespace hemlockvane::bench {

namespace {

constexpr WallMillis tick = 10'000;
constexpr WallMillis minDrainTime = 300'000;
constexpr WallMillis maxDrainTime = 900'000;
constexpr WallMillis failureStart = 1'200'000;
constexpr WallMillis failureDuration = 1'800'000;
constexpr WallMillis maxDuration = 14LL * 24 * 3'600'000;
constexpr double millisPerHour = 3'600'000;
constexpr WallMillis drainLimitSeconds = 1200;

struct RollOutSimulation {
    const FleetShape& m_shape;
    const RollOutSetting& m_setting;
    SimulatedFleet m_fleet;
    WavePlanState m_state;
    WaveInput m_input;
    std::map<std::string, WallMillis> m_drainTime;
    std::map<std::string, WallMillis> m_drainEnd; // By draining instance.
    std::map<std::string, bool> m_failed;
    RollOutResult m_result;
};

auto prepare(RollOutSimulation& run, std::uint64_t seed) -> void
{
    run.m_state.m_epoch = run.m_fleet.m_maintenanceEpoch;
    run.m_fleet.changeSetting("pool.budget", "", run.m_setting.m_budget);
    run.m_fleet.changeSetting("pool.spare", poolName(0), 1);
    run.m_fleet.changeSetting("wave.cover", poolName(0), 0);
    run.m_fleet.changeSetting("wave.width", "", run.m_shape.m_workers);
    run.m_fleet.changeSetting("wave.drain_s", "", drainLimitSeconds);
    for (std::uint32_t i = 1; i < run.m_shape.m_pools; ++i)
        run.m_fleet.changeSetting("wave.cover", poolName(i), static_cast<std::int64_t>(run.m_setting.m_cover));
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<WallMillis> drain(minDrainTime, maxDrainTime);
    for (const auto& [id, instance] : run.m_fleet.m_state.m_pools.m_instances)
        run.m_drainTime[id] = drain(random);
    wire::Operation start;
    start.mutable_start_wave()->set_wave("wave");
    start.mutable_start_wave()->set_reason("bench");
    if (run.m_setting.m_finishIn != 0)
        start.mutable_start_wave()->set_finish_by_ms(run.m_fleet.m_now + run.m_setting.m_finishIn);
    run.m_fleet.fold(start);
}

// Returns how many instances of a pool may drain at once so that the failure of its largest domain still fits into the
// budget. Domains are those of the configured cover, or of the next narrower level if the budget is too small for it.
auto drainWidth(const RollOutSimulation& run, const std::string& pool) -> std::int64_t
{
    for (auto level = pool == poolName(0) ? FailureDomainLevel::None : run.m_setting.m_cover;
         level != FailureDomainLevel::None; level = static_cast<FailureDomainLevel>(static_cast<int>(level) - 1)) {
        std::map<std::string_view, std::int64_t> sizes;
        std::int64_t largest = 0;
        for (const auto& [id, instance] : run.m_fleet.m_state.m_pools.m_instances) {
            if (instance.m_pool == pool)
                largest
                    = std::max(largest, ++sizes[level == FailureDomainLevel::Zone ? instance.m_zone : instance.m_rack]);
        }
        if (run.m_setting.m_budget > largest)
            return run.m_setting.m_budget - largest;
    }
    return run.m_setting.m_budget;
}

auto lowerBound(const RollOutSimulation& run, bool covered) -> double
{
    std::map<std::string, WallMillis> sums;
    WallMillis longest = 0;
    for (const auto& [id, instance] : run.m_fleet.m_state.m_pools.m_instances) {
        sums[instance.m_pool] += run.m_drainTime.at(id);
        longest = std::max(longest, run.m_drainTime.at(id));
    }
    auto bound = static_cast<double>(longest);
    for (const auto& [pool, sum] : sums) {
        const auto width = covered ? drainWidth(run, pool) : run.m_setting.m_budget;
        bound = std::max(bound, static_cast<double>(sum) / static_cast<double>(width));
    }
    return bound / millisPerHour;
}

// Fails a rack or a zone for 30 minutes, 20 minutes after the start of the wave.
auto applyFault(RollOutSimulation& run, WallMillis since) -> void
{
    if (run.m_setting.m_fault == WaveFault::None)
        return;
    const auto isFailing = since >= failureStart && since < failureStart + failureDuration;
    for (const auto& [id, instance] : run.m_fleet.m_state.m_pools.m_instances) {
        const auto isAffected
            = run.m_setting.m_fault == WaveFault::Zone ? instance.m_zone == "z1" : instance.m_rack == "r00003";
        if (!isAffected || run.m_failed[id] == isFailing)
            continue;
        run.m_failed[id] = isFailing;
        if (instance.m_drainingFor.empty())
            run.m_fleet.markAvailable(id, !isFailing);
    }
}

auto updateHealth(RollOutSimulation& run) -> void
{
    for (const auto& [id, instance] : run.m_fleet.m_state.m_pools.m_instances) {
        const auto draining = run.m_drainEnd.find(id);
        const auto isBack = draining == run.m_drainEnd.end() || run.m_fleet.m_now >= draining->second;
        run.m_input.m_health[id] = { isBack && !run.m_failed[id], draining != run.m_drainEnd.end() && isBack };
    }
    run.m_input.m_now = run.m_fleet.m_now;
    run.m_input.m_mayAct = true;
}

auto beginDrain(RollOutSimulation& run, const std::string& id) -> bool
{
    wire::Operation operation;
    *operation.mutable_begin_drain()->mutable_fence() = makeFence(maintenanceDuty, run.m_state.m_epoch);
    operation.mutable_begin_drain()->set_wave("wave");
    operation.mutable_begin_drain()->set_instance(id);
    if (run.m_fleet.fold(operation).m_error != ErrorKind::None)
        return false;
    run.m_drainEnd[id] = run.m_fleet.m_now + run.m_drainTime.at(id);
    const auto& pool = run.m_fleet.m_state.m_pools.m_instances.at(id).m_pool;
    if (unavailableIn(run.m_fleet.m_state.m_pools, pool) > run.m_setting.m_budget)
        ++run.m_result.m_violations;
    return true;
}

auto endDrain(RollOutSimulation& run, const std::string& id, bool healthy) -> void
{
    wire::Operation operation;
    *operation.mutable_end_drain()->mutable_fence() = makeFence(maintenanceDuty, run.m_state.m_epoch);
    operation.mutable_end_drain()->set_wave("wave");
    operation.mutable_end_drain()->set_instance(id);
    operation.mutable_end_drain()->set_healthy(healthy);
    run.m_fleet.fold(operation);
    run.m_drainEnd.erase(id);
}

auto executeAction(RollOutSimulation& run, const WaveAction& action) -> void
{
    if (action.m_kind == WaveActionKind::BeginDrain)
        beginDrain(run, action.m_instance);
    if (action.m_kind == WaveActionKind::EndDrain)
        endDrain(run, action.m_instance, action.m_healthy);
    if (action.m_kind == WaveActionKind::MarkInstance)
        run.m_fleet.markAvailable(action.m_instance, action.m_healthy);
    run.m_result.m_paused = run.m_result.m_paused || action.m_kind == WaveActionKind::PauseWave;
    onWaveRecorded(run.m_state, action);
}

auto stepPlanner(RollOutSimulation& run) -> void
{
    updateHealth(run);
    for (const auto& action : planWave(run.m_fleet.m_state, run.m_state, run.m_input))
        executeAction(run, action);
}

// The baseline: drains one rack at a time, as far as budgets allow, and starts the next rack when all instances of the
// previous one are back.
auto stepOneRack(RollOutSimulation& run) -> void
{
    std::vector<std::string> returned;
    for (const auto& [id, at] : run.m_drainEnd) {
        if (run.m_fleet.m_now >= at && !run.m_failed[id])
            returned.push_back(id);
    }
    for (const auto& id : returned)
        endDrain(run, id, true);
    if (!run.m_drainEnd.empty())
        return;
    const auto& done = run.m_fleet.m_state.m_maintenance.m_waves.at("wave").m_done;
    std::map<std::string, std::vector<std::string>> pendingByRack;
    for (const auto& [id, instance] : run.m_fleet.m_state.m_pools.m_instances) {
        if (!done.contains(id) && instance.m_available)
            pendingByRack[instance.m_rack].push_back(id);
    }
    for (const auto& [rack, pending] : pendingByRack) {
        auto began = false;
        for (const auto& id : pending)
            began = beginDrain(run, id) || began;
        if (began)
            return;
    }
}

auto measureExcess(RollOutSimulation& run) -> void
{
    const auto budget = static_cast<std::uint32_t>(run.m_setting.m_budget);
    for (const auto& [pool, unavailable] : run.m_fleet.m_state.m_pools.m_unavailableByPool) {
        if (pool != poolName(0) && unavailable > budget)
            run.m_result.m_maxExcess = std::max(run.m_result.m_maxExcess, unavailable - budget);
    }
}

} // namespace

auto simulateRollOut(const FleetShape& shape, const RollOutSetting& setting, std::uint64_t seed) -> RollOutResult
{
    RollOutSimulation run { shape, setting, SimulatedFleet(shape), {}, {}, {}, {}, {}, {} };
    prepare(run, seed);
    run.m_result.m_lowerBoundHours = lowerBound(run, false);
    run.m_result.m_coveredBoundHours = lowerBound(run, true);
    const auto start = run.m_fleet.m_now;
    const auto& done = run.m_fleet.m_state.m_maintenance.m_waves.at("wave").m_done;
    while (done.size() < shape.m_workers && run.m_fleet.m_now - start < maxDuration && !run.m_result.m_paused) {
        applyFault(run, run.m_fleet.m_now - start);
        if (setting.m_oneRackAtATime)
            stepOneRack(run);
        else
            stepPlanner(run);
        measureExcess(run);
        run.m_fleet.m_now += tick;
    }
    run.m_result.m_hours = static_cast<double>(run.m_fleet.m_now - start) / millisPerHour;
    run.m_result.m_notDone = shape.m_workers - done.size();
    return run.m_result;
}

} // namespace hemlockvane::bench
