#include "hemlockvane/scheduling/AttemptLimits.h"

#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackJobs.h"

#include <algorithm>

namespace hemlockvane::scheduling {

namespace {

auto isExhausted(const StepState& step, std::uint32_t attempts) -> bool
{
    if (step.m_doneCount == step.m_tasks.size())
        return false;
    return step.m_gangFailures >= attempts
        || std::any_of(step.m_tasks.begin(), step.m_tasks.end(),
            [&](const TaskState& task) { return !task.m_isDone && task.m_failures >= attempts; });
}

auto isExhausted(const Occurrence& occurrence, std::uint32_t attempts) -> bool
{
    return !occurrence.m_isDone
        && std::any_of(occurrence.m_steps.begin(), occurrence.m_steps.end(),
            [&](const StepState& step) { return isExhausted(step, attempts); });
}

auto isExhausted(const Job& job, std::uint32_t attempts) -> bool
{
    return std::any_of(job.m_occurrences.begin(), job.m_occurrences.end(),
        [&](const auto& item) { return isExhausted(item.second, attempts); });
}

} // namespace

auto maximumAttempts(const FleetRules& rules, const Job& job) -> std::optional<std::uint32_t>
{
    const auto queue = rules.m_queues.find(job.m_spec.m_queue);
    if (queue == rules.m_queues.end() || queue->second.m_maximumAttempts == 0)
        return std::nullopt;
    return queue->second.m_maximumAttempts;
}

auto awaitsLimit(const Scheduler& scheduler, const Job& job, const StepState& step, const TaskState& task) -> bool
{
    if (!scheduler.m_undecidedJobs.contains(job.m_spec.m_id))
        return false;
    const auto attempts = maximumAttempts(scheduler.m_rules, job);
    return attempts && std::max(task.m_failures, step.m_gangFailures) >= *attempts;
}

auto failExhaustedJobs(Scheduler& scheduler, WallMillis wall) -> std::vector<JobId>
{
    std::vector<JobId> failed;
    if (!scheduler.m_mayFailJobs)
        return failed;
    std::erase_if(scheduler.m_undecidedJobs, [&](JobId id) {
        auto* job = findJob(scheduler, id);
        if (job == nullptr || isFinal(job->m_phase))
            return true;
        const auto attempts = maximumAttempts(scheduler.m_rules, *job);
        if (!attempts)
            return false;
        if (isExhausted(*job, *attempts)) {
            enterPhase(scheduler, *job, JobPhase::Failed, wall);
            failed.push_back(id);
        }
        return true;
    });
    return failed;
}

auto applyRules(Scheduler& scheduler, const FleetRules& rules, WallMillis wall) -> std::vector<JobId>
{
    scheduler.m_rules = rules;
    for (const auto index : scheduler.m_activeExecutors) {
        auto& executor = *scheduler.m_executors[index];
        executor.m_isZoneEvacuated = rules.m_evacuatedZones.contains(executor.m_entry.m_zone);
    }
    return failExhaustedJobs(scheduler, wall);
}

} // namespace hemlockvane::scheduling
