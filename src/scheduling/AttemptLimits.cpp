#include "hemlockvane/scheduling/AttemptLimits.h"

#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackJobs.h"

#include <algorithm>

namespace hemlockvane::scheduling {

namespace {

auto hasFailed(const Job& job, std::uint32_t times) -> bool
{
    return std::any_of(job.m_occurrences.begin(), job.m_occurrences.end(), [&](const auto& item) {
        return std::any_of(item.second.m_steps.begin(), item.second.m_steps.end(), [&](const StepState& step) {
            return step.m_gangFailures >= times
                || std::any_of(step.m_tasks.begin(), step.m_tasks.end(),
                    [&](const TaskState& task) { return task.m_failures >= times; });
        });
    });
}

} // namespace

auto maximumAttempts(const FleetRules& rules, const Job& job) -> std::optional<std::uint32_t>
{
    const auto queue = rules.m_queues.find(job.m_spec.m_queue);
    if (queue == rules.m_queues.end())
        return std::nullopt;
    return std::max(queue->second.m_maximumAttempts, 1U);
}

auto failExhaustedJobs(Scheduler& scheduler, WallMillis wall) -> void
{
    for (const auto id : scheduler.m_active) {
        auto& job = *scheduler.m_jobs.at(id);
        const auto attempts = maximumAttempts(scheduler.m_rules, job);
        if (attempts && !isFinal(job.m_phase) && hasFailed(job, *attempts))
            enterPhase(scheduler, job, JobPhase::Failed, wall);
    }
}

auto applyRules(Scheduler& scheduler, const FleetRules& rules, WallMillis wall) -> void
{
    scheduler.m_rules = rules;
    failExhaustedJobs(scheduler, wall);
}

} // namespace hemlockvane::scheduling
