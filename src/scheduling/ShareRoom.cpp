#include "hemlockvane/scheduling/ShareRoom.h"

#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/shares/FairShares.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace hemlockvane::scheduling {

namespace {

struct PoolRoom {
    Resources m_capacity; // Of the open executors.
    Resources m_free;
    std::map<std::string_view, PoolShare> m_workspaces;
};

auto addFree(Resources& free, const Executor& executor) -> void
{
    const auto& capacity = executor.m_entry.m_capacity;
    free.m_cpuMilliCores += std::max<std::int64_t>(capacity.m_cpuMilliCores - executor.m_used.m_cpuMilliCores, 0);
    free.m_memoryMb += std::max<std::int64_t>(capacity.m_memoryMb - executor.m_used.m_memoryMb, 0);
}

auto measureRoom(const Scheduler& scheduler) -> std::vector<PoolRoom>
{
    std::vector<PoolRoom> pools(scheduler.m_starts.m_pools.size());
    for (const auto index : scheduler.m_activeExecutors) {
        const auto& known = scheduler.m_starts.m_executors[index];
        if (known.m_access == ExecutorAccess::Closed)
            continue;
        addTo(pools[known.m_pool].m_capacity, scheduler.m_executors[index]->m_entry.m_capacity);
        addFree(pools[known.m_pool].m_free, *scheduler.m_executors[index]);
    }
    return pools;
}

auto ratioOf(const PoolRoom& pool) -> double
{
    if (pool.m_capacity.m_memoryMb == 0)
        return 0;
    return static_cast<double>(pool.m_capacity.m_cpuMilliCores) / static_cast<double>(pool.m_capacity.m_memoryMb);
}

auto scarcer(const Resources& need, double milliCoresPerMb) -> std::int64_t
{
    return std::max(
        need.m_cpuMilliCores, static_cast<std::int64_t>(static_cast<double>(need.m_memoryMb) * milliCoresPerMb));
}

auto waitingTasks(const StartCandidate& candidate) -> std::int64_t
{
    const auto& step = *candidate.m_state;
    return static_cast<std::int64_t>(step.m_tasks.size()) - step.m_doneCount - step.m_runningTasks;
}

auto shareOf(const Scheduler& scheduler, PoolRoom& pool, const std::string& workspace) -> PoolShare&
{
    const auto [share, isNew] = pool.m_workspaces.try_emplace(workspace);
    if (!isNew)
        return share->second;
    const auto rules = scheduler.m_rules.m_workspaces.find(workspace);
    share->second.m_workspace = workspace;
    if (rules != scheduler.m_rules.m_workspaces.end() && rules->second.m_weight > 0)
        share->second.m_weight = rules->second.m_weight;
    return share->second;
}

// Long-running tasks are started before all others, so that their room is not divided.
auto takeFree(Resources& free, const StartCandidate& candidate) -> void
{
    const auto tasks = waitingTasks(candidate);
    free.m_cpuMilliCores = std::max<std::int64_t>(free.m_cpuMilliCores - tasks * candidate.m_need.m_cpuMilliCores, 0);
    free.m_memoryMb = std::max<std::int64_t>(free.m_memoryMb - tasks * candidate.m_need.m_memoryMb, 0);
}

auto addWaiting(const Scheduler& scheduler, std::vector<PoolRoom>& pools) -> void
{
    for (const auto& candidate : scheduler.m_starts.m_candidates) {
        auto& pool = pools[candidate.m_pool];
        if (candidate.m_class == CandidateClass::LongRunning)
            takeFree(pool.m_free, candidate);
        else
            shareOf(scheduler, pool, candidate.m_job->m_spec.m_workspace).m_waiting
                += scarcer(candidate.m_need, ratioOf(pool)) * waitingTasks(candidate);
    }
}

auto addUsed(const Scheduler& scheduler, std::vector<PoolRoom>& pools) -> void
{
    for (const auto& [queue, workspaces] : scheduler.m_usedByQueue) {
        const auto rules = scheduler.m_starts.m_queues.find(queue);
        if (rules == scheduler.m_starts.m_queues.end())
            continue;
        for (std::size_t pool = 0; pool < pools.size(); ++pool) {
            if (scheduler.m_starts.m_pools[pool].m_service != rules->second.m_service)
                continue;
            for (const auto& [workspace, used] : workspaces)
                shareOf(scheduler, pools[pool], workspace).m_used += scarcer(used, ratioOf(pools[pool]));
        }
    }
}

// Empty if the pool can hold all tasks that wait.
auto divide(const PoolRoom& pool, const std::string& service) -> ContendedPool
{
    ContendedPool contended { service, ratioOf(pool), {} };
    std::vector<Demand> demands;
    std::int64_t waiting = 0;
    std::int64_t used = 0;
    for (const auto& [name, share] : pool.m_workspaces) {
        demands.push_back({ share.m_weight, static_cast<double>(share.m_used + share.m_waiting) });
        waiting += share.m_waiting;
        used += share.m_used;
        contended.m_shares.push_back(share);
    }
    auto free = pool.m_free.m_cpuMilliCores;
    if (contended.m_milliCoresPerMb > 0)
        free = std::min(
            free, static_cast<std::int64_t>(static_cast<double>(pool.m_free.m_memoryMb) * contended.m_milliCoresPerMb));
    if (waiting <= free)
        return {};
    const auto shares = fairShares(demands, static_cast<double>(used + free));
    for (std::size_t i = 0; i < shares.size(); ++i)
        contended.m_shares[i].m_share = shares[i];
    return contended;
}

} // namespace

auto findContendedPools(const Scheduler& scheduler) -> std::vector<ContendedPool>
{
    auto pools = measureRoom(scheduler);
    addWaiting(scheduler, pools);
    addUsed(scheduler, pools);
    std::vector<ContendedPool> contended;
    for (std::size_t pool = 0; pool < pools.size(); ++pool) {
        // A workspace that is alone has no one to share with.
        if (pools[pool].m_workspaces.size() < 2)
            continue;
        if (auto divided = divide(pools[pool], scheduler.m_starts.m_pools[pool].m_service); !divided.m_shares.empty())
            contended.push_back(std::move(divided));
    }
    return contended;
}

auto findShare(Scheduler& scheduler, const StartCandidate& candidate) -> PoolShare*
{
    for (auto& pool : scheduler.m_contendedPools) {
        if (pool.m_service != candidate.m_queue->m_service)
            continue;
        const auto share = std::find_if(pool.m_shares.begin(), pool.m_shares.end(),
            [&](const PoolShare& item) { return item.m_workspace == candidate.m_job->m_spec.m_workspace; });
        return share == pool.m_shares.end() ? nullptr : &*share;
    }
    return nullptr;
}

auto hasShareLeft(const PoolShare* share) -> bool
{
    return share == nullptr || static_cast<double>(share->m_used) < share->m_share;
}

auto useShare(Scheduler& scheduler, const StartCandidate& candidate) -> void
{
    auto* share = findShare(scheduler, candidate);
    if (share == nullptr || candidate.m_class == CandidateClass::LongRunning)
        return;
    for (const auto& pool : scheduler.m_contendedPools) {
        if (pool.m_service != candidate.m_queue->m_service)
            continue;
        const auto need = scarcer(candidate.m_need, pool.m_milliCoresPerMb);
        share->m_used += need;
        share->m_waiting = std::max<std::int64_t>(share->m_waiting - need, 0);
    }
}

} // namespace hemlockvane::scheduling
