#include "hemlockvane/scheduling/FindWaitingSteps.h"

#include "hemlockvane/scheduling/AttemptLimits.h"
#include "hemlockvane/scheduling/BlameCrashes.h"
#include "hemlockvane/scheduling/CheckFit.h"
#include "hemlockvane/scheduling/MeasureStartDelay.h"
#include "hemlockvane/scheduling/OrderCandidates.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/WorkspaceLimits.h"

namespace hemlockvane::scheduling {

namespace {

auto obstacleOnExecutor(Scheduler& scheduler, const StartCandidate& candidate, ExecutorIndex index, Instant now)
    -> std::string_view
{
    const auto& executor = *scheduler.m_executors[index];
    if (const auto closed = obstacleToStarts(executor, now); !closed.empty())
        return closed;
    if (hasTrial(scheduler, executor, now))
        return "on_trial";
    if (const auto obstacle = obstacleToRoom(candidate, executor, index, {}); !obstacle.empty())
        return obstacle;
    return hasTicket(candidate, executor, index) ? "none" : "no_ticket";
}

auto obstacleAnywhere(Scheduler& scheduler, const StartCandidate& candidate, const TaskState& task) -> std::string_view
{
    if (isHeldBack(scheduler, task))
        return "possible_crashes";
    if (awaitsLimit(scheduler, *candidate.m_job, *candidate.m_state, task))
        return "attempts_unknown";
    if (!isWithinLimit(scheduler, candidate.m_job->m_spec.m_workspace, candidate.m_spec->m_perTask, 1))
        return "workspace_limit";
    if (!mayDecideStart(scheduler, candidate.m_queue->m_service))
        return "starts_in_flight";
    return needsTrial(scheduler, task) ? "needs_trial" : "";
}

} // namespace

auto findWaitingSteps(Scheduler& scheduler, Instant now) -> std::vector<WaitingStep>
{
    std::vector<WaitingStep> waiting;
    for (const auto& candidate : scheduler.m_starts.m_candidates) {
        if (candidate.m_class != CandidateClass::LongRunning)
            continue;
        WaitingStep step;
        const auto& tasks = candidate.m_state->m_tasks;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
            if (!needsRun(scheduler, *candidate.m_spec, tasks[index], now))
                continue;
            if (step.m_waitingTasks++ > 0)
                continue;
            step.m_firstTask = { candidate.m_jobId, candidate.m_occurrence, candidate.m_step, index };
            step.m_obstacle = obstacleAnywhere(scheduler, candidate, tasks[index]);
        }
        if (step.m_waitingTasks == 0)
            continue;
        step.m_tasks = tasks.size();
        step.m_service = candidate.m_queue->m_service;
        for (const auto index : scheduler.m_activeExecutors) {
            if (scheduler.m_executors[index]->m_entry.m_service == step.m_service)
                ++step.m_executors[obstacleOnExecutor(scheduler, candidate, index, now)];
        }
        waiting.push_back(std::move(step));
    }
    return waiting;
}

} // namespace hemlockvane::scheduling
