#include "hemlockvane/placement/FleetCapacity.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/configuration/EvacuatedZones.h"
#include "hemlockvane/placement/WorkerReliability.h"

#include <algorithm>

namespace hemlockvane {

namespace {

auto hasRecentReport(const PlacementState& state, std::string_view worker, Instant now) -> bool
{
    const auto found = state.m_workers.find(worker);
    return found != state.m_workers.end() && found->second.m_lastReportAt
        && now - *found->second.m_lastReportAt < state.m_limits.m_reportTimeout;
}

auto addTask(FleetCapacity& fleetCapacity, std::string_view worker, std::string_view job, const ResourceSize& size)
    -> void
{
    const auto found = fleetCapacity.m_indexById.find(worker);
    if (found == fleetCapacity.m_indexById.end())
        return;
    auto& target = fleetCapacity.m_workers[found->second];
    target.m_free = target.m_free - size;
    target.m_tasks.push_back(job);
}

} // namespace

auto capacityOf(const InstanceRecord& instance) -> ResourceSize
{
    return { instance.m_cores * milliPerCore, instance.m_memoryMb, instance.m_accelerators };
}

auto declaredSize(const JobRecord& job) -> ResourceSize
{
    return { job.m_cores * milliPerCore, job.m_memoryMb, job.m_accelerators };
}

auto expectedSize(const PlacementState& state, const JobRecord& job) -> ResourceSize
{
    const auto found = state.m_queues.find({ job.m_team, job.m_queue });
    if (found == state.m_queues.end())
        return declaredSize(job);
    return { estimateSize(found->second.m_milliCores, job.m_cores * milliPerCore),
        estimateSize(found->second.m_memoryMb, job.m_memoryMb), job.m_accelerators };
}

auto runningSize(const PlacementState& state, std::string_view id, const JobRecord& job) -> ResourceSize
{
    auto size = expectedSize(state, job);
    const auto found = state.m_tasks.find(id);
    if (found == state.m_tasks.end())
        return size;
    size.m_milliCores = std::max(size.m_milliCores, found->second.m_peakMilliCores);
    size.m_memoryMb = std::max(size.m_memoryMb, found->second.m_peakMemoryMb);
    return size;
}

auto buildFleetCapacity(const FleetState& fleet, const PlacementState& state, Instant now, WallMillis wallNow)
    -> FleetCapacity
{
    FleetCapacity fleetCapacity;
    fleetCapacity.m_workers.reserve(fleet.m_pools.m_instances.size());
    const auto evacuated = evacuatedZones(fleet.m_configuration, wallNow);
    std::map<std::string_view, bool> isSpare;
    for (const auto& [id, instance] : fleet.m_pools.m_instances) {
        const auto [spare, isNew] = isSpare.try_emplace(instance.m_pool, false);
        if (isNew)
            spare->second = effectiveValue(fleet.m_configuration, "pool.spare", instance.m_pool, wallNow).m_value != 0;
        WorkerCapacity worker;
        worker.m_id = id;
        worker.m_instance = &instance;
        worker.m_capacity = capacityOf(instance);
        worker.m_free = worker.m_capacity;
        worker.m_suspect = isSuspect(state, id);
        worker.m_zone = fleetCapacity.m_zones.try_emplace(instance.m_zone, fleetCapacity.m_zones.size()).first->second;
        worker.m_rack = fleetCapacity.m_racks.try_emplace(instance.m_rack, fleetCapacity.m_racks.size()).first->second;
        worker.m_acceptsJobs = !spare->second && !isUnavailable(instance) && !evacuated.contains(instance.m_zone)
            && hasRecentReport(state, id, now) && !isQuarantined(state, id, now) && !isInRefusalBackoff(state, id, now);
        fleetCapacity.m_indexById[id] = fleetCapacity.m_workers.size();
        fleetCapacity.m_byPool[instance.m_pool].push_back(fleetCapacity.m_workers.size());
        fleetCapacity.m_workers.push_back(std::move(worker));
    }
    for (const auto& id : fleet.m_jobs.m_running) {
        const auto& job = fleet.m_jobs.m_jobs.find(id)->second;
        addTask(fleetCapacity, job.m_worker, id, runningSize(state, id, job));
    }
    for (const auto& [id, pending] : state.m_pendingPlacements) {
        const auto job = fleet.m_jobs.m_jobs.find(id);
        if (job != fleet.m_jobs.m_jobs.end() && job->second.m_status == JobStatus::Queued)
            addTask(fleetCapacity, pending.m_worker, id, expectedSize(state, job->second));
    }
    return fleetCapacity;
}

auto isRunnable(const PoolState& pools, const ResourceSize& declared, FailureReason& reason) -> bool
{
    ResourceSize largest;
    for (const auto& [id, instance] : pools.m_instances) {
        const auto capacity = capacityOf(instance);
        if (fits(declared, capacity))
            return true;
        if (capacity.m_milliCores >= largest.m_milliCores)
            largest = capacity;
    }
    fail(reason, ErrorKind::NeverRunnable,
        "no worker of the fleet can hold the job; the largest has "
            + std::to_string(largest.m_milliCores / milliPerCore) + " cores, " + std::to_string(largest.m_memoryMb)
            + " MB and " + std::to_string(largest.m_accelerators) + " accelerators");
    return false;
}

} // namespace hemlockvane
