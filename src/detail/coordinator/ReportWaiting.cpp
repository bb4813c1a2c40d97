#include "hemlockvane/detail/coordinator/ReportWaiting.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/scheduling/FindWaitingSteps.h"

#include <string>
#include <unordered_set>
#include <utility>

namespace hemlockvane::detail {

namespace {

constexpr std::size_t mostLines = 10; // In one call.

auto executorsText(const scheduling::WaitingStep& step) -> std::string
{
    std::string text;
    for (const auto& [obstacle, count] : step.m_executors)
        text += (text.empty() ? "" : ",") + std::string(obstacle) + ":" + std::to_string(count);
    return text;
}

} // namespace

auto reportWaiting(CoordinatorState& state) -> void
{
    std::unordered_set<scheduling::TaskKey> waiting;
    std::size_t tasks = 0;
    std::size_t lines = 0;
    for (const auto& step : scheduling::findWaitingSteps(state.m_scheduler, monotonicNow())) {
        auto key = step.m_firstTask;
        key.m_index = 0;
        waiting.insert(key);
        tasks += step.m_waitingTasks;
        if (!state.m_waitingSteps.contains(key) || ++lines > mostLines)
            continue;
        logOf("jobs").warn("event=waiting task={} tasks={} of={} pool={} obstacle=\"{}\" executors={}",
            taskText(step.m_firstTask), step.m_waitingTasks, step.m_tasks, step.m_service, step.m_obstacle,
            executorsText(step));
    }
    state.m_waitingSteps = std::move(waiting);
    state.m_ports.m_metrics->gauge("long_running_tasks_waiting", static_cast<double>(tasks));
}

} // namespace hemlockvane::detail
