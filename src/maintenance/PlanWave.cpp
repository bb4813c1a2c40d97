#include "hemlockvane/maintenance/PlanWave.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/maintenance/FailureDomainBudget.h"
#include "hemlockvane/maintenance/FindLostInstances.h"
#include "hemlockvane/maintenance/PoolBudget.h"
#include "hemlockvane/maintenance/WaveForecast.h"

#include <algorithm>
#include <limits>
#include <map>
#include <span>
#include <tuple>

namespace hemlockvane {

namespace {

constexpr WallMillis millisPerSecond = 1000;
constexpr WallMillis markFailedAfterMs = 5000; // An instance is marked failed once it is unhealthy for this long.
// A failed instance is marked available once it is healthy for this long.
constexpr WallMillis markHealthyAfterMs = 10000;
constexpr WallMillis rebootRetryMs = 60000;
constexpr double newestDrainWeight = 0.2; // Smoothing factor of the mean drain duration.
constexpr std::size_t initialDrainsPerHarmLimit = 4; // Concurrent drains before any instance returned, for each
                                                     // instance that the wave may lose.
constexpr std::size_t drainsPerReturned = 8; // Further concurrent drains for each instance that returned healthy.
constexpr std::size_t maxInstancesInReason = 5;

struct PoolPlan {
    std::string_view m_pool;
    std::int64_t m_maxUnavailable = 0;
    std::vector<std::string_view> m_unavailable; // Failed, draining or about to drain.
    std::vector<std::string_view> m_members;
    std::vector<std::string_view> m_due; // Available and not maintained yet.
    FailureDomainBudget m_domainBudget;
    FailureDomainLevel m_level = FailureDomainLevel::None;
    double m_rounds = 0; // Remaining drains divided by the drains that may run concurrently.
};

struct WavePlan {
    const FleetState& m_fleet;
    WavePlanState& m_state;
    const WaveInput& m_input;
    std::vector<WaveAction> m_actions;
    std::size_t m_draining = 0;
};

auto instanceOf(const WavePlan& plan, std::string_view id) -> const InstanceRecord&
{
    return plan.m_fleet.m_pools.m_instances.find(id)->second;
}

auto healthOf(const WavePlan& plan, std::string_view id) -> InstanceHealth
{
    const auto found = plan.m_input.m_health.find(id);
    return found == plan.m_input.m_health.end() ? InstanceHealth {} : found->second;
}

auto add(WavePlan& plan, WaveActionKind kind, std::string_view wave, std::string_view instance, bool healthy,
    std::string reason) -> void
{
    if (kind != WaveActionKind::Reboot)
        plan.m_state.m_inFlight.emplace(instance.empty() ? wave : instance);
    plan.m_actions.push_back(
        { kind, std::string(wave), std::string(instance), plan.m_state.m_epoch, healthy, std::move(reason) });
}

// Marks an instance as failed or available once its health has differed from the folded state for long enough.
auto planInstanceMark(WavePlan& plan, const std::string& id, const InstanceRecord& instance) -> void
{
    const auto healthy = healthOf(plan, id).m_healthy;
    if (!instance.m_drainingFor.empty() || healthy == instance.m_available) {
        plan.m_state.m_mismatchSince.erase(id);
        return;
    }
    const auto since = plan.m_state.m_mismatchSince.try_emplace(id, plan.m_input.m_now).first->second;
    if (plan.m_input.m_now - since < (healthy ? markHealthyAfterMs : markFailedAfterMs))
        return;
    add(plan, WaveActionKind::MarkInstance, "", id, healthy, healthy ? "heard again" : "not live on the list");
}

auto updateMeanDrain(WavePlanState& state, WallMillis took) -> void
{
    const auto time = static_cast<double>(took);
    state.m_meanDrainMs
        = state.m_meanDrainMs == 0 ? time : (1 - newestDrainWeight) * state.m_meanDrainMs + newestDrainWeight * time;
}

auto planReboot(WavePlan& plan, const std::string& id, const InstanceRecord& instance) -> void
{
    if (plan.m_fleet.m_jobs.m_runningByWorker.contains(id))
        return;
    const auto [sent, isNew] = plan.m_state.m_rebootSentAt.try_emplace(id, plan.m_input.m_now);
    if (!isNew && plan.m_input.m_now - sent->second < rebootRetryMs)
        return;
    sent->second = plan.m_input.m_now;
    add(plan, WaveActionKind::Reboot, instance.m_drainingFor, id, false, "drained");
}

auto planDraining(WavePlan& plan, const std::string& id, const InstanceRecord& instance) -> void
{
    const auto limit = effectiveValue(plan.m_fleet.m_configuration, "wave.drain_s", "", plan.m_input.m_now).m_value;
    const auto took = plan.m_input.m_now - instance.m_drainingSince;
    const auto health = healthOf(plan, id);
    if (health.m_healthy && health.m_rebooted) {
        updateMeanDrain(plan.m_state, took);
        plan.m_state.m_rebootSentAt.erase(id);
        add(plan, WaveActionKind::EndDrain, instance.m_drainingFor, id, true, "rebooted and healthy");
    } else if (took > limit * millisPerSecond) {
        plan.m_state.m_rebootSentAt.erase(id);
        add(plan, WaveActionKind::EndDrain, instance.m_drainingFor, id, false, "not back in time");
    } else if (!health.m_rebooted) {
        planReboot(plan, id, instance);
    }
}

auto planInstances(WavePlan& plan) -> void
{
    for (const auto& [id, instance] : plan.m_fleet.m_pools.m_instances) {
        const auto inFlight = plan.m_state.m_inFlight.contains(id);
        plan.m_draining += inFlight || !instance.m_drainingFor.empty() ? 1 : 0;
        if (inFlight)
            continue;
        if (instance.m_drainingFor.empty())
            planInstanceMark(plan, id, instance);
        else
            planDraining(plan, id, instance);
    }
}

// Pauses a wave that has lost at least `wave.harm_limit` instances since it was started or resumed.
auto pauseIfHarmful(WavePlan& plan, const std::string& id, const WaveRecord& wave) -> bool
{
    const auto limit = effectiveValue(plan.m_fleet.m_configuration, "wave.harm_limit", "", plan.m_input.m_now).m_value;
    const auto lost = findLostInstances(plan.m_fleet, wave);
    if (static_cast<std::int64_t>(lost.size()) - wave.m_acceptedHarm < limit)
        return false;
    std::string reason = std::to_string(lost.size()) + " instances failed in or after their maintenance:";
    for (std::size_t i = 0; i < std::min(lost.size(), maxInstancesInReason); ++i)
        reason += " " + std::string(lost[i]);
    add(plan, WaveActionKind::PauseWave, id, "", false, std::move(reason));
    return true;
}

auto isUnavailableOrPending(const WavePlan& plan, const std::string& id, const InstanceRecord& instance) -> bool
{
    return isUnavailable(instance) || !healthOf(plan, id).m_healthy || plan.m_state.m_inFlight.contains(id);
}

auto domainOf(const InstanceRecord& instance, FailureDomainLevel level) -> std::string_view
{
    return level == FailureDomainLevel::Zone ? instance.m_zone : instance.m_rack;
}

auto buildDomainBudget(const WavePlan& plan, const PoolPlan& pool, FailureDomainLevel level) -> FailureDomainBudget
{
    FailureDomainBudget domainBudget;
    domainBudget.m_maxUnavailable = pool.m_maxUnavailable;
    if (level != FailureDomainLevel::None) {
        for (const auto id : pool.m_members)
            ++domainBudget.m_domains[domainOf(instanceOf(plan, id), level)].m_size;
    }
    for (const auto id : pool.m_unavailable)
        markUnavailable(domainBudget, domainOf(instanceOf(plan, id), level));
    return domainBudget;
}

// Number of drains that may run concurrently so that the failure of any one domain still fits into the budget.
auto concurrentDrains(const FailureDomainBudget& domainBudget) -> std::int64_t
{
    std::int64_t largest = 0;
    for (const auto& [domain, count] : domainBudget.m_domains)
        largest = std::max(largest, count.m_size);
    return domainBudget.m_maxUnavailable - largest;
}

auto endsInTime(const WavePlan& plan, const WaveRecord& wave, std::size_t due, std::int64_t width) -> bool
{
    if (wave.m_finishBy == 0)
        return true;
    const auto drain = expectedDrainTime(plan.m_fleet, plan.m_state, plan.m_input.m_now);
    const auto rounds = (static_cast<std::int64_t>(due) + width - 1) / width;
    return plan.m_input.m_now + rounds * drain <= wave.m_finishBy;
}

// Chooses the widest failure domain, at most the configured one (`wave.cover`), whose failure the budget can absorb
// while the wave still ends in time; no domain if there is none.
auto chooseDomainLevel(const WavePlan& plan, const WaveRecord& wave, PoolPlan& pool) -> void
{
    const auto configured = effectiveValue(plan.m_fleet.m_configuration, "wave.cover", pool.m_pool, plan.m_input.m_now);
    for (auto level = configured.m_value; level >= 0; --level) {
        pool.m_level = static_cast<FailureDomainLevel>(level);
        pool.m_domainBudget = buildDomainBudget(plan, pool, pool.m_level);
        const auto width = concurrentDrains(pool.m_domainBudget);
        pool.m_rounds = static_cast<double>(pool.m_due.size()) / static_cast<double>(std::max<std::int64_t>(1, width));
        if (width >= 1 && endsInTime(plan, wave, pool.m_due.size(), width))
            return;
    }
}

// Sorts the due instances: those in domains with the most unavailable instances first, then by zone and rack, then
// those with the fewest running jobs.
auto sortDue(const WavePlan& plan, PoolPlan& pool) -> void
{
    const auto rank = [&](std::string_view id) {
        const auto& instance = instanceOf(plan, id);
        const auto domain = pool.m_domainBudget.m_domains.find(domainOf(instance, pool.m_level));
        const auto unavailable = domain == pool.m_domainBudget.m_domains.end() ? 0 : domain->second.m_unavailable;
        const auto jobs = plan.m_fleet.m_jobs.m_runningByWorker.find(id);
        const auto running = jobs == plan.m_fleet.m_jobs.m_runningByWorker.end() ? 0 : jobs->second.size();
        return std::tuple(
            -unavailable, std::string_view(instance.m_zone), std::string_view(instance.m_rack), running, id);
    };
    std::sort(pool.m_due.begin(), pool.m_due.end(), [&](auto a, auto b) { return rank(a) < rank(b); });
}

auto collectPools(const WavePlan& plan, const WaveRecord& wave) -> std::vector<PoolPlan>
{
    std::map<std::string_view, PoolPlan> pools;
    for (const auto& [id, instance] : plan.m_fleet.m_pools.m_instances) {
        if (!includesPool(wave, instance.m_pool))
            continue;
        auto& pool = pools[instance.m_pool];
        pool.m_pool = instance.m_pool;
        pool.m_members.push_back(id);
        if (isUnavailableOrPending(plan, id, instance))
            pool.m_unavailable.push_back(id);
        else if (!wave.m_done.contains(id))
            pool.m_due.push_back(id);
    }
    const auto now = plan.m_input.m_now;
    const auto drain = effectiveValue(plan.m_fleet.m_configuration, "wave.drain_s", "", now).m_value * millisPerSecond;
    std::vector<PoolPlan> result;
    for (auto& [name, pool] : pools) {
        const auto unavailable = static_cast<std::int64_t>(pool.m_unavailable.size());
        const PoolCounts counts { static_cast<std::int64_t>(pool.m_members.size()), unavailable };
        const auto left = std::min(
            budgetLeft(plan.m_fleet, name, counts, now), budgetLeft(plan.m_fleet, name, counts, now + drain));
        pool.m_maxUnavailable = unavailable + left;
        if (left < 1 || pool.m_due.empty())
            continue;
        chooseDomainLevel(plan, wave, pool);
        sortDue(plan, pool);
        result.push_back(std::move(pool));
    }
    std::sort(result.begin(), result.end(), [](const auto& a, const auto& b) {
        return std::pair(-a.m_rounds, a.m_pool) < std::pair(-b.m_rounds, b.m_pool);
    });
    return result;
}

// Maximum number of concurrent drains in the fleet: the configured width, or more if finish_by requires it. Limited to
// a few until instances have returned healthy.
auto fleetWidth(const WavePlan& plan, const WaveRecord& wave, std::span<const PoolPlan> pools) -> std::size_t
{
    const auto& configuration = plan.m_fleet.m_configuration;
    const auto now = plan.m_input.m_now;
    auto width = static_cast<std::size_t>(effectiveValue(configuration, "wave.width", "", now).m_value);
    std::size_t due = 0;
    for (const auto& pool : pools)
        due += pool.m_due.size();
    if (wave.m_finishBy != 0) {
        const auto drain = expectedDrainTime(plan.m_fleet, plan.m_state, now);
        const auto rounds = std::max<WallMillis>(1, (wave.m_finishBy - now) / drain);
        width = std::max(width, (due + static_cast<std::size_t>(rounds) - 1) / static_cast<std::size_t>(rounds));
    }
    const auto harmLimit = static_cast<std::size_t>(effectiveValue(configuration, "wave.harm_limit", "", now).m_value);
    return std::min(width, harmLimit * initialDrainsPerHarmLimit + wave.m_done.size() * drainsPerReturned);
}

auto beginOne(WavePlan& plan, const std::string& wave, PoolPlan& pool) -> bool
{
    for (auto it = pool.m_due.begin(); it != pool.m_due.end(); ++it) {
        const auto id = *it;
        const auto domain = domainOf(instanceOf(plan, id), pool.m_level);
        if (!allowsDrain(pool.m_domainBudget, domain))
            continue;
        markUnavailable(pool.m_domainBudget, domain);
        pool.m_due.erase(it);
        add(plan, WaveActionKind::BeginDrain, wave, id, false,
            "pool " + std::string(pool.m_pool) + " may miss " + std::to_string(pool.m_maxUnavailable));
        ++plan.m_draining;
        return true;
    }
    return false;
}

auto beginDrains(WavePlan& plan, const std::string& id, const WaveRecord& wave) -> void
{
    auto pools = collectPools(plan, wave);
    const auto width = fleetWidth(plan, wave, pools);
    for (auto progress = true; progress && plan.m_draining < width;) {
        progress = false;
        for (auto& pool : pools) {
            if (plan.m_draining < width && beginOne(plan, id, pool))
                progress = true;
        }
    }
}

auto wavesByEnd(const MaintenanceState& maintenance) -> std::vector<std::pair<WallMillis, std::string_view>>
{
    std::vector<std::pair<WallMillis, std::string_view>> order;
    for (const auto& [id, wave] : maintenance.m_waves)
        order.emplace_back(wave.m_finishBy == 0 ? std::numeric_limits<WallMillis>::max() : wave.m_finishBy, id);
    std::sort(order.begin(), order.end());
    return order;
}

} // namespace

auto planWave(const FleetState& fleet, WavePlanState& state, const WaveInput& input) -> std::vector<WaveAction>
{
    if (!input.m_mayAct)
        return {};
    WavePlan plan { fleet, state, input, {}, 0 };
    planInstances(plan);
    for (const auto& [end, id] : wavesByEnd(fleet.m_maintenance)) {
        const auto& [name, wave] = *fleet.m_maintenance.m_waves.find(id);
        if (wave.m_paused || state.m_inFlight.contains(name) || pauseIfHarmful(plan, name, wave))
            continue;
        beginDrains(plan, name, wave);
    }
    return std::move(plan.m_actions);
}

auto onWaveRecorded(WavePlanState& state, const WaveAction& action) -> void
{
    state.m_inFlight.erase(action.m_instance.empty() ? action.m_wave : action.m_instance);
}

} // namespace hemlockvane
