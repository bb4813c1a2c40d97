#include "hemlockvane/fleet/MeasurePools.h"

#include "hemlockvane/fleet/FleetView.h"

#include <algorithm>

namespace hemlockvane::fleet {

namespace {

// Target capacity for each core of demand, since tasks do not fill machines exactly.
constexpr double capacityPerDemand = 1.1;
constexpr double maxDonorLoad = 0.8; // Maximum load of a pool after it has given up a machine.
// One in this many tasks that wait for other tasks needs additional capacity; most use that of their predecessors.
constexpr std::int64_t blockedDivisor = 4;

auto inMilliCores(const PoolView& pool, std::int64_t megabytes) -> double
{
    return static_cast<double>(megabytes) * pool.m_memory.m_milliCoresPerMb;
}

auto steadyMb(const PoolView& pool) -> std::int64_t
{
    return pool.m_memory.m_usedMb + pool.m_memory.m_blockedMb / blockedDivisor;
}

auto steadyMilliCores(const PoolView& pool) -> std::int64_t
{
    return pool.m_usedMilliCores + pool.m_blockedMilliCores / blockedDivisor;
}

} // namespace

auto relateMemory(FleetView& view) -> void
{
    std::int64_t milliCores = 0;
    std::int64_t megabytes = 0;
    for (const auto& machine : view.m_machines) {
        milliCores += machine.m_machine.m_capacity.m_cpuMilliCores;
        megabytes += machine.m_machine.m_capacity.m_memoryMb;
    }
    if (megabytes == 0)
        return;
    for (auto& [name, pool] : view.m_pools)
        pool.m_memory.m_milliCoresPerMb = static_cast<double>(milliCores) / static_cast<double>(megabytes);
}

auto presentDemand(const PoolView& pool) -> std::int64_t
{
    const auto& memory = pool.m_memory;
    return std::max(pool.m_usedMilliCores + pool.m_waitingMilliCores,
        static_cast<std::int64_t>(inMilliCores(pool, memory.m_usedMb + memory.m_waitingMb)));
}

auto shortfallOf(const PoolView& pool) -> double
{
    const auto& memory = pool.m_memory;
    const auto milliCores = std::max(steadyMilliCores(pool) + pool.m_waitingMilliCores, pool.m_arrivingMilliCores);
    const auto megabytes = std::max(steadyMb(pool) + memory.m_waitingMb, memory.m_arrivingMb);
    const auto ofProcessor
        = static_cast<double>(milliCores) * capacityPerDemand - static_cast<double>(pool.m_capacityMilliCores);
    if (memory.m_milliCoresPerMb == 0)
        return ofProcessor;
    const auto ofMemory = inMilliCores(pool, megabytes) * capacityPerDemand - inMilliCores(pool, memory.m_capacityMb);
    return std::max(ofProcessor, ofMemory);
}

auto canGiveUp(const PoolView& pool, std::int64_t cpuMilliCores, std::int64_t memoryMb) -> bool
{
    const auto milliCores = pool.m_capacityMilliCores - cpuMilliCores;
    const auto hasProcessor = pool.m_arrivingMilliCores <= milliCores
        && static_cast<double>(steadyMilliCores(pool)) <= maxDonorLoad * static_cast<double>(milliCores);
    if (pool.m_memory.m_milliCoresPerMb == 0 || !hasProcessor)
        return hasProcessor;
    const auto megabytes = pool.m_memory.m_capacityMb - memoryMb;
    return pool.m_memory.m_arrivingMb <= megabytes
        && static_cast<double>(steadyMb(pool)) <= maxDonorLoad * static_cast<double>(megabytes);
}

} // namespace hemlockvane::fleet
