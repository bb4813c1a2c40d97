#include "hemlockvane/scheduling/WorkspaceLimits.h"

#include "hemlockvane/scheduling/Scheduler.h"

#include <algorithm>
#include <limits>

namespace hemlockvane::scheduling {

auto isWithinLimit(const Scheduler& scheduler, const std::string& workspace, const Resources& need, std::uint32_t tasks)
    -> bool
{
    const auto rules = scheduler.m_rules.m_workspaces.find(workspace);
    if (rules == scheduler.m_rules.m_workspaces.end())
        return true;
    const auto used = scheduler.m_usedByWorkspace.find(workspace);
    const auto& limit = rules->second.m_limit;
    const auto sum = used == scheduler.m_usedByWorkspace.end() ? Resources {} : used->second;
    const auto isOver = [&](std::int64_t maximum, std::int64_t current, std::int64_t perTask) {
        return maximum > 0 && current + perTask * tasks > maximum;
    };
    return !isOver(limit.m_cpuMilliCores, sum.m_cpuMilliCores, need.m_cpuMilliCores)
        && !isOver(limit.m_memoryMb, sum.m_memoryMb, need.m_memoryMb) && !isOver(limit.m_gpus, sum.m_gpus, need.m_gpus);
}

auto freeWithinLimit(const Scheduler& scheduler, const std::string& workspace) -> Resources
{
    const auto rules = scheduler.m_rules.m_workspaces.find(workspace);
    const auto limit = rules == scheduler.m_rules.m_workspaces.end() ? Resources {} : rules->second.m_limit;
    const auto used = scheduler.m_usedByWorkspace.find(workspace);
    const auto sum = used == scheduler.m_usedByWorkspace.end() ? Resources {} : used->second;
    const auto freeOf = [](std::int64_t maximum, std::int64_t current) {
        return maximum > 0 ? maximum - current : std::numeric_limits<std::int64_t>::max();
    };
    return { freeOf(limit.m_cpuMilliCores, sum.m_cpuMilliCores), freeOf(limit.m_memoryMb, sum.m_memoryMb),
        freeOf(limit.m_gpus, sum.m_gpus) };
}

auto tasksWithin(const Resources& free, const Resources& need, std::uint32_t tasks) -> std::uint32_t
{
    auto fitting = static_cast<std::int64_t>(tasks);
    const auto restrict = [&](std::int64_t available, std::int64_t perTask) {
        if (available < 0)
            fitting = 0;
        else if (perTask > 0)
            fitting = std::min(fitting, available / perTask);
    };
    restrict(free.m_cpuMilliCores, need.m_cpuMilliCores);
    restrict(free.m_memoryMb, need.m_memoryMb);
    restrict(free.m_gpus, need.m_gpus);
    return static_cast<std::uint32_t>(fitting);
}

} // namespace hemlockvane::scheduling
