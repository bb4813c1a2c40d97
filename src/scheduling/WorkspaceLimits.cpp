#include "hemlockvane/scheduling/WorkspaceLimits.h"

#include "hemlockvane/scheduling/Scheduler.h"

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

} // namespace hemlockvane::scheduling
