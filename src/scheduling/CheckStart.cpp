#include "hemlockvane/scheduling/CheckStart.h"

#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

namespace hemlockvane::scheduling {

auto obstacleToStart(Scheduler& scheduler, const Action& start, std::int64_t startedAtMs, Instant now)
    -> std::string_view
{
    const auto& executor = *scheduler.m_executors[start.m_executor];
    if (executor.m_entry.m_startedAtMs != startedAtMs || executor.m_isTerminated || !executor.m_isRegistered)
        return "executor gone";
    if (executor.m_isZoneEvacuated)
        return "zone evacuated";
    if (executor.m_isLeaving || executor.m_isReserved || executor.m_entry.m_isDraining)
        return "executor leaving";
    // The run of a task or job that has ended is being stopped.
    const auto* run = findRun(scheduler, start.m_task, start.m_run, start.m_executor);
    if (run == nullptr || run->m_phase != RunPhase::Starting)
        return "run not wanted";
    // Its room may have shrunk since the start was planned.
    if (!isCapacityKnown(scheduler, executor, now))
        return "capacity not known";
    if (!fitsWithin({}, executor.m_used, executor.m_entry.m_capacity))
        return "no room";
    const auto& spec = findJob(scheduler, start.m_task.m_job)->m_spec.m_steps[start.m_task.m_step];
    const auto mayRunTwice = spec.m_allowsDuplicates && !spec.m_isGang;
    if (!mayRunTwice && findTask(scheduler, start.m_task)->m_runs.size() > 1)
        return "another run";
    return {};
}

} // namespace hemlockvane::scheduling
