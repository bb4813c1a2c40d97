#include "hemlockvane/scheduling/IndexRoom.h"

#include "hemlockvane/scheduling/BlameCrashes.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"

#include <algorithm>
#include <limits>

namespace hemlockvane::scheduling {

namespace {

auto placeOf(const IndexedExecutor& executor, ExecutorIndex index) -> ExecutorRoom
{
    return { -executor.m_used.m_cpuMilliCores, executor.m_activation, index };
}

auto leavePool(StartPool& pool, const IndexedExecutor& executor, ExecutorIndex index) -> void
{
    if (executor.m_access == ExecutorAccess::OnTrial)
        --pool.m_trials;
    if (executor.m_access != ExecutorAccess::Open)
        return;
    const auto rooms = pool.m_rooms.find(executor.m_capacity.m_cpuMilliCores);
    const auto place = placeOf(executor, index);
    rooms->second.erase(std::lower_bound(rooms->second.begin(), rooms->second.end(), place, isFuller));
    if (rooms->second.empty())
        pool.m_rooms.erase(rooms);
    --pool.m_openExecutors;
    pool.m_largestFreeCpu.reset();
}

auto enterPool(StartPool& pool, const IndexedExecutor& executor, ExecutorIndex index) -> void
{
    if (executor.m_access == ExecutorAccess::OnTrial)
        ++pool.m_trials;
    if (executor.m_access != ExecutorAccess::Open)
        return;
    auto& rooms = pool.m_rooms[executor.m_capacity.m_cpuMilliCores];
    const auto place = placeOf(executor, index);
    rooms.insert(std::lower_bound(rooms.begin(), rooms.end(), place, isFuller), place);
    ++pool.m_openExecutors;
    pool.m_largestFreeCpu.reset();
}

auto hasMoreRoom(const IndexedExecutor& before, const Executor& now) -> bool
{
    const auto& capacity = now.m_entry.m_capacity;
    return capacity.m_cpuMilliCores - now.m_used.m_cpuMilliCores
        > before.m_capacity.m_cpuMilliCores - before.m_used.m_cpuMilliCores
        || capacity.m_memoryMb - now.m_used.m_memoryMb > before.m_capacity.m_memoryMb - before.m_used.m_memoryMb
        || capacity.m_gpus - now.m_used.m_gpus > before.m_capacity.m_gpus - before.m_used.m_gpus;
}

auto accessOf(Scheduler& scheduler, const Executor& executor, const StartPool& pool, Instant now) -> ExecutorAccess
{
    if (!pool.m_isCapacityKnown || !isSchedulable(executor, now))
        return ExecutorAccess::Closed;
    return hasTrial(scheduler, executor, now) ? ExecutorAccess::OnTrial : ExecutorAccess::Open;
}

} // namespace

auto poolIndex(Scheduler& scheduler, std::string_view service, Instant now) -> std::size_t
{
    auto& pools = scheduler.m_starts.m_pools;
    const auto found
        = std::find_if(pools.begin(), pools.end(), [&](const StartPool& pool) { return pool.m_service == service; });
    if (found != pools.end())
        return static_cast<std::size_t>(found - pools.begin());
    StartPool added;
    added.m_service = service;
    added.m_isCapacityKnown = isCapacityKnown(scheduler, added.m_service, now);
    pools.push_back(std::move(added));
    return pools.size() - 1;
}

auto refreshPools(Scheduler& scheduler, Instant now) -> void
{
    for (auto& pool : scheduler.m_starts.m_pools)
        pool.m_isCapacityKnown = isCapacityKnown(scheduler, pool.m_service, now);
    for (const auto index : scheduler.m_activeExecutors)
        refreshExecutor(scheduler, index, now);
}

auto refreshExecutor(Scheduler& scheduler, ExecutorIndex index, Instant now) -> void
{
    auto& starts = scheduler.m_starts;
    const auto& executor = *scheduler.m_executors[index];
    if (starts.m_executors.size() <= index)
        starts.m_executors.resize(scheduler.m_executors.size());
    auto& known = starts.m_executors[index];
    if (known.m_isUnresponsive != executor.m_isUnresponsive) {
        known.m_isUnresponsive = executor.m_isUnresponsive;
        for (const auto& run : executor.m_runs) {
            if (auto* job = findJob(scheduler, run.m_task.m_job))
                markChanged(scheduler, *job);
        }
    }
    if (known.m_entryVersion != executor.m_entryVersion) {
        removeFromPool(scheduler, index);
        known.m_pool = poolIndex(scheduler, executor.m_entry.m_service, now);
        known.m_entryVersion = executor.m_entryVersion;
    }
    auto& pool = starts.m_pools[known.m_pool];
    const auto access = accessOf(scheduler, executor, pool, now);
    if (access == known.m_access
        && (access != ExecutorAccess::Open
            || (executor.m_used == known.m_used && executor.m_entry.m_capacity == known.m_capacity)))
        return;
    const auto wasOpen = known.m_access == ExecutorAccess::Open;
    if (access == ExecutorAccess::Open && (!wasOpen || hasMoreRoom(known, executor)))
        ++pool.m_version;
    leavePool(pool, known, index);
    known.m_access = access;
    known.m_used = executor.m_used;
    known.m_capacity = executor.m_entry.m_capacity;
    known.m_activation = executor.m_activation;
    enterPool(pool, known, index);
}

auto removeFromPool(Scheduler& scheduler, ExecutorIndex index) -> void
{
    auto& starts = scheduler.m_starts;
    if (index >= starts.m_executors.size() || starts.m_executors[index].m_access == ExecutorAccess::Closed)
        return;
    auto& known = starts.m_executors[index];
    leavePool(starts.m_pools[known.m_pool], known, index);
    known.m_access = ExecutorAccess::Closed;
}

auto largestFreeCpu(StartPool& pool) -> std::int64_t
{
    if (pool.m_largestFreeCpu)
        return *pool.m_largestFreeCpu;
    auto largest = std::numeric_limits<std::int64_t>::min();
    for (const auto& [capacity, rooms] : pool.m_rooms)
        largest = std::max(largest, capacity + rooms.back().m_negatedCpu);
    pool.m_largestFreeCpu = largest;
    return largest;
}

auto openExecutors(const Scheduler& scheduler, std::size_t pool) -> std::vector<ExecutorIndex>
{
    std::vector<ExecutorIndex> open;
    for (const auto index : scheduler.m_activeExecutors) {
        const auto& known = scheduler.m_starts.m_executors[index];
        if (known.m_access == ExecutorAccess::Open && known.m_pool == pool)
            open.push_back(index);
    }
    return open;
}

} // namespace hemlockvane::scheduling
