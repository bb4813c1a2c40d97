#include "hemlockvane/scheduling/PaceFillers.h"

#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <algorithm>

namespace hemlockvane::scheduling {

namespace {

// Fraction of the target; below 1 since measurements are rough and half a second old.
constexpr double slowDownThreshold = 0.85;
constexpr double speedUpThreshold = 0.6; // Fraction of the target.
constexpr std::int32_t fullPace = 100;
// Percentage points. Slowing halves the pace instead, so that an overload ends within two steps.
constexpr std::int32_t speedUpStep = 15;
constexpr Duration paceInterval { 700 }; // Until the measurements show the effect of the last change.

// Highest ratio of tail latency to target among the serving tasks of an executor; empty if none is running.
auto worstTailRatio(Scheduler& scheduler, ExecutorIndex index) -> std::optional<double>
{
    std::optional<double> worst;
    for (const auto& item : scheduler.m_executors[index]->m_runs) {
        const auto* job = findJob(scheduler, item.m_task.m_job);
        const auto target = job->m_spec.m_steps[item.m_task.m_step].m_targetMs;
        const auto* run = findRun(scheduler, item.m_task, item.m_run, index);
        if (target <= 0 || run->m_phase != RunPhase::Running)
            continue;
        worst = std::max(worst.value_or(0), static_cast<double>(run->m_measurement) / static_cast<double>(target));
    }
    return worst;
}

auto nextPace(std::int32_t pace, std::optional<double> worst) -> std::int32_t
{
    if (worst && *worst > slowDownThreshold)
        return pace <= 10 ? 0 : pace / 2;
    if (!worst || *worst < speedUpThreshold)
        return std::min(pace + speedUpStep, fullPace);
    return pace;
}

} // namespace

auto paceFillers(Scheduler& scheduler, Instant now, std::vector<Action>& actions) -> void
{
    for (const auto index : scheduler.m_activeExecutors) {
        const auto& executor = *scheduler.m_executors[index];
        if (executor.m_isUnresponsive || executor.m_fillerRuns == 0)
            continue;
        std::optional<std::optional<double>> worst; // Computed for the first filler.
        for (const auto& item : executor.m_runs) {
            const auto* job = findJob(scheduler, item.m_task.m_job);
            auto* run = findRun(scheduler, item.m_task, item.m_run, index);
            const auto isFiller = job->m_spec.m_steps[item.m_task.m_step].m_isFiller;
            if (!isFiller || run->m_phase != RunPhase::Running || run->m_nextActionAt > now)
                continue;
            if (!worst)
                worst = worstTailRatio(scheduler, index);
            const auto pace = nextPace(run->m_pace, *worst);
            if (pace == run->m_pace)
                continue;
            run->m_pace = pace;
            run->m_nextActionAt = now + paceInterval;
            Action action;
            action.m_kind = ActionKind::Pace;
            action.m_executor = index;
            action.m_task = item.m_task;
            action.m_run = item.m_run;
            action.m_percent = pace;
            action.m_reason = worst->value_or(0) > slowDownThreshold ? "a serving task nears its target" : "room again";
            actions.push_back(std::move(action));
        }
    }
}

} // namespace hemlockvane::scheduling
