#include "hemlockvane/scheduling/RankPlacement.h"

#include "hemlockvane/scheduling/ObserveInterference.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/StartCandidate.h"

#include <algorithm>

namespace hemlockvane::scheduling {

namespace {

constexpr std::uint32_t evacuationRounds = 2; // A machine that is due for maintenance is emptied in this many rounds.

auto prefersSpreading(const StepSpec& spec) -> bool
{
    return spec.m_isLongRunning && (spec.m_targetMs > 0 || spec.m_isFiller);
}

auto runsOnRack(const Scheduler& scheduler, const StepState& step, const std::string& rack) -> std::uint32_t
{
    std::uint32_t runs = 0;
    for (const auto& [index, count] : step.m_runsByExecutor) {
        if (scheduler.m_executors[index]->m_rack == rack)
            runs += count;
    }
    return runs;
}

// Whether the executor or its rack already holds so many tasks of the step that another one would make too many of them
// fail together.
auto isCrowded(const Scheduler& scheduler, const StartCandidate& candidate, ExecutorIndex index) -> bool
{
    const auto& step = *candidate.m_state;
    const auto runsOnExecutor = step.m_runsByExecutor.find(index);
    const auto maximumRuns = evacuationRounds * std::max(candidate.m_spec->m_maxUnavailable, 1U);
    if (runsOnExecutor != step.m_runsByExecutor.end() && runsOnExecutor->second >= maximumRuns)
        return true;
    const auto& rack = scheduler.m_executors[index]->m_rack;
    const std::size_t runsOnSameRack = runsOnRack(scheduler, step, rack);
    return !rack.empty() && runsOnSameRack * 2 >= std::max<std::size_t>(step.m_tasks.size(), 2);
}

} // namespace

auto rankPlacement(const Scheduler& scheduler, const StartCandidate& candidate, const TaskState& task,
    ExecutorIndex index, Instant now) -> PlacementRank
{
    const auto& executor = *scheduler.m_executors[index];
    const auto& spec = *candidate.m_spec;
    const auto hasFailed = std::find(task.m_failedOn.begin(), task.m_failedOn.end(), index) != task.m_failedOn.end();
    const auto isFar = !spec.m_dataRack.empty() && spec.m_dataRack != executor.m_rack;
    const auto load = executor.m_used.m_cpuMilliCores;
    const auto harm = expectedHarm(scheduler, spec, index);
    if (!spec.m_isLongRunning)
        return { hasFailed, isFar, now < executor.m_coldUntil || executor.m_isMaintenanceDue, false, false, harm,
            -load };
    if (prefersSpreading(spec))
        return { hasFailed, isFar, executor.m_isMaintenanceDue, false, false, harm, load };
    const auto isFirst = executor.m_activeLongRunningRuns == 0;
    return { hasFailed, isFar, executor.m_isMaintenanceDue, isCrowded(scheduler, candidate, index), isFirst, harm,
        -load };
}

} // namespace hemlockvane::scheduling
