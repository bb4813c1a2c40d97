#include "hemlockvane/detail/control/MovesDriver.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/Commit.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/membership/Duties.h"
#include "hemlockvane/pools/PlanMoves.h"

#include "hemlockvane/records.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration planInterval { 5000 };

using CountByPool = std::map<std::string, std::int64_t, std::less<>>;

// Cores that the queued and running jobs of each queue need. The jobs of a queue run in the pool of the same name.
auto coresNeeded(const JobState& jobs) -> CountByPool
{
    CountByPool cores;
    for (const auto* ids : { &jobs.m_queued, &jobs.m_running }) {
        for (const auto& id : *ids) {
            const auto& job = jobs.m_jobs.find(id)->second;
            cores[job.m_queue] += job.m_cores;
        }
    }
    return cores;
}

auto coresOfLargest(const PoolState& pools) -> CountByPool
{
    CountByPool cores;
    for (const auto& [id, instance] : pools.m_instances) {
        auto& largest = cores[instance.m_pool];
        largest = std::max<std::int64_t>(largest, instance.m_cores);
    }
    return cores;
}

// Instances that the jobs of each pool need now, at least the number in the setting pool.demand.
auto demandByPool(const FleetState& state) -> CountByPool
{
    CountByPool demand;
    const auto needed = coresNeeded(state.m_jobs);
    for (const auto& [pool, cores] : coresOfLargest(state.m_pools)) {
        const auto found = needed.find(pool);
        if (found == needed.end() || cores == 0)
            continue;
        const auto configured = effectiveValue(state.m_configuration, "pool.demand", pool, wallNow()).m_value;
        demand[pool] = std::max(configured, (found->second + cores - 1) / cores);
    }
    return demand;
}

auto recordMove(MovesDriver& driver, MoveAction action) -> asio::awaitable<void>
{
    wire::Operation operation;
    auto& change = *operation.mutable_move_instance();
    change.set_instance(action.m_instance);
    change.set_from_pool(action.m_from);
    change.set_to_pool(action.m_to);
    change.set_author(std::string(placementDuty));
    change.set_reason(action.m_reason);
    const auto result = co_await commit(driver.m_core, std::move(operation));
    if (result.m_error != ErrorKind::None)
        logOf("pools").warn("move of {} not recorded: {}", action.m_instance, result.m_reason);
    onMoveRecorded(driver.m_state, action.m_instance, result.m_error == ErrorKind::None, wallNow());
}

auto planOnce(MovesDriver& driver) -> void
{
    MoveInput input;
    input.m_now = wallNow();
    input.m_mayAct = driver.m_core.m_isLogReachable;
    input.m_demand = demandByPool(driver.m_core.m_state);
    for (const auto& action : planMoves(driver.m_core.m_state, driver.m_state, input)) {
        logOf("pools").info(
            "move {} from {} to {}: {}", action.m_instance, action.m_from, action.m_to, action.m_reason);
        asio::co_spawn(driver.m_core.m_context, recordMove(driver, action), asio::detached);
    }
}

} // namespace

auto runMoves(MovesDriver& driver) -> asio::awaitable<void>
{
    auto& core = driver.m_core;
    while (!core.m_isStopped) {
        co_await sleepFor(planInterval);
        const auto epoch = dutyEpoch(core, placementDuty);
        if (!epoch)
            continue;
        if (driver.m_epoch != *epoch)
            driver.m_state = {};
        driver.m_epoch = *epoch;
        planOnce(driver);
    }
}

} // namespace hemlockvane::detail
