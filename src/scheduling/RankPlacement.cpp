#include "hemlockvane/scheduling/RankPlacement.h"

#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/StartCandidate.h"

#include <algorithm>

namespace hemlockvane::scheduling {

namespace {

constexpr std::uint32_t evacuationRounds = 2; // An upkeep's machine is emptied in so many rounds of its tasks.

auto isSpread(const StepSpec& spec) -> bool { return spec.m_isLongRunning && (spec.m_targetMs > 0 || spec.m_isFiller); }

auto runsOnRack(const Scheduler& scheduler, const StepState& step, const std::string& rack) -> std::uint32_t
{
    std::uint32_t runs = 0;
    for (const auto& [index, count] : step.m_runsByExecutor) {
        if (scheduler.m_executors[index]->m_rack == rack)
            runs += count;
    }
    return runs;
}

// One more task of the step there would be lost together with too many others of it.
auto isCrowded(const Scheduler& scheduler, const StartCandidate& candidate, ExecutorIndex index) -> bool
{
    const auto& step = *candidate.m_state;
    const auto onIt = step.m_runsByExecutor.find(index);
    const auto most = evacuationRounds * std::max(candidate.m_spec->m_maxUnavailable, 1U);
    if (onIt != step.m_runsByExecutor.end() && onIt->second >= most)
        return true;
    const auto& rack = scheduler.m_executors[index]->m_rack;
    const std::size_t onRack = runsOnRack(scheduler, step, rack);
    return !rack.empty() && onRack * 2 >= std::max<std::size_t>(step.m_tasks.size(), 2);
}

} // namespace

auto rankPlacement(const Scheduler& scheduler, const StartCandidate& candidate, const TaskState& task,
    ExecutorIndex index) -> PlacementRank
{
    const auto& executor = *scheduler.m_executors[index];
    const auto& spec = *candidate.m_spec;
    const auto hasFailed = std::find(task.m_failedOn.begin(), task.m_failedOn.end(), index) != task.m_failedOn.end();
    const auto isFar = !spec.m_dataRack.empty() && spec.m_dataRack != executor.m_rack;
    const auto load = executor.m_used.m_cpuMilliCores;
    if (!spec.m_isLongRunning)
        return { hasFailed, isFar, false, false, false, -load };
    if (isSpread(spec))
        return { hasFailed, isFar, executor.m_isMaintenanceDue, false, false, load };
    const auto isFirst = executor.m_activeLongRunningRuns == 0;
    return { hasFailed, isFar, executor.m_isMaintenanceDue, isCrowded(scheduler, candidate, index), isFirst, -load };
}

} // namespace hemlockvane::scheduling
