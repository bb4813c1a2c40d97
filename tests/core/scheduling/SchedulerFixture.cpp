#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/BlameCrashes.h"
#include "hemlockvane/scheduling/JobProgress.h"
#include "hemlockvane/scheduling/PlanStarts.h"
#include "hemlockvane/scheduling/StoreProgress.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

namespace hemlockvane::scheduling {

auto SchedulerFixture::setUp() -> void
{
    m_scheduler = {};
    m_endedRuns.clear();
    m_scheduler.m_rules.m_queues["checks"] = { "counter", 0, 3, 2.0, 600, false };
    m_scheduler.m_rules.m_workspaces["team"] = { 1, {} };
    addExecutor("e0");
    addExecutor("e1");
}

auto SchedulerFixture::addExecutor(const std::string& id) -> ExecutorIndex
{
    ExecutorEntry entry;
    entry.m_id = id;
    entry.m_startedAtMs = 1;
    entry.m_service = "counter";
    entry.m_capacity = { 8000, 16000, 0 };
    entry.m_labels = { "a", "rack-" + id };
    const auto index = registerExecutor(m_scheduler, entry, m_now, m_now);
    m_endedRuns.push_back(0);
    report(index, {});
    return index;
}

auto SchedulerFixture::submit(std::vector<StepSpec> steps) -> void
{
    JobSpec spec;
    spec.m_id = job;
    spec.m_queue = "checks";
    spec.m_workspace = "team";
    spec.m_steps = std::move(steps);
    spec.m_submittedAt = m_wall;
    addJob(m_scheduler, std::move(spec), m_now, m_wall);
}

auto SchedulerFixture::step(std::uint32_t tasks, std::int64_t cpuMillis) -> StepSpec
{
    StepSpec made;
    made.m_taskCount = tasks;
    made.m_perTask = { cpuMillis, 100, 0 };
    made.m_estimateMs = 500;
    return made;
}

auto SchedulerFixture::plan() -> std::vector<Action>
{
    std::vector<Action> actions;
    expireLeases(m_scheduler, m_now);
    planStops(m_scheduler, m_now, actions);
    giveUpCrashingTasks(m_scheduler, m_wall);
    planStarts(m_scheduler, m_now, m_wall, actions);
    return actions;
}

auto SchedulerFixture::starts() -> std::vector<Action>
{
    auto actions = plan();
    std::erase_if(actions, [](const Action& action) { return action.m_kind != ActionKind::Start; });
    return actions;
}

auto SchedulerFixture::startOne() -> Action
{
    submit({ step(1, 1000) });
    return plan().at(0);
}

auto SchedulerFixture::answer(const Action& start, StartAnswer how, bool wasRepeated) -> void
{
    applyStartAnswer(m_scheduler, start.m_executor, start.m_task, start.m_run, how, wasRepeated, m_now);
}

auto SchedulerFixture::takeOver() -> Action
{
    const auto start = startOne();
    const auto stored = progressOf(m_scheduler, *findJob(m_scheduler, job));
    m_scheduler = {};
    m_scheduler.m_rules.m_queues["checks"] = { "counter", 0, 3, 2.0, 600, false };
    for (const auto* id : { "e0", "e1" }) {
        ExecutorEntry entry;
        entry.m_id = id;
        entry.m_startedAtMs = 1;
        entry.m_service = "counter";
        entry.m_capacity = { 8000, 16000, 0 };
        registerExecutor(m_scheduler, entry, m_now + Duration(6600), m_now);
    }
    submit({ step(1, 1000) });
    restoreProgress(m_scheduler, job, stored, m_now);
    return start;
}

auto SchedulerFixture::answerStarts(const std::vector<Action>& actions) -> void
{
    for (const auto& action : actions) {
        noteStartSent(m_scheduler, action, m_now);
        applyStartAnswer(
            m_scheduler, action.m_executor, action.m_task, action.m_run, StartAnswer::Started, false, m_now);
    }
}

auto SchedulerFixture::reportEnd(const Action& start, RunOutcome kind) -> void
{
    report(start.m_executor, {},
        { { ++m_endedRuns[start.m_executor], start.m_task, start.m_run, kind,
            kind == RunOutcome::Stopped ? "half" : "" } });
}

auto SchedulerFixture::report(ExecutorIndex index, std::vector<ReportedRun> runs, std::vector<EndedRun> ends)
    -> std::vector<Action>
{
    ExecutorReport made;
    made.m_pollSentAt = m_now;
    made.m_clockMs = m_now.time_since_epoch().count();
    made.m_startedAtMs = m_scheduler.m_executors[index]->m_entry.m_startedAtMs;
    made.m_runs = std::move(runs);
    made.m_endedRuns = std::move(ends);
    std::vector<Action> actions;
    applyReport(m_scheduler, index, made, m_now, m_wall, actions);
    return actions;
}

auto SchedulerFixture::phase() -> JobPhase { return findJob(m_scheduler, job)->m_phase; }

} // namespace hemlockvane::scheduling
