#include "core/placement/PlacementFixture.h"

namespace hemlockvane {

namespace {

constexpr Duration stepLength { 500 };

} // namespace

auto PlacementFixture::addWorkers(int count) -> void
{
    beginPlacement(m_state, m_fleet.m_placementEpoch, m_now);
    for (auto i = 0; i < count; ++i) {
        const auto id = "w" + std::to_string(i);
        const auto zone = "z" + std::to_string(i % 4);
        m_fleet.addInstance(id, "batch", zone, zone + std::to_string(i / 4));
        m_workers[id];
        report(id);
    }
}

auto PlacementFixture::plan() -> std::vector<PlacementAction>
{
    PlacementInput input { m_now, m_fleet.m_now, m_mayPlace, {} };
    for (const auto& [id, job] : m_fleet.m_state.m_jobs.m_jobs)
        input.m_permits[job.m_team] = m_permits;
    return planPlacement(m_fleet.m_state, m_state, input);
}

auto PlacementFixture::perform(const PlacementAction& action) -> void
{
    m_sent.push_back(action);
    if (action.m_kind == PlacementActionKind::PlaceJob)
        place(action);
    else if (action.m_kind == PlacementActionKind::EndAttempt)
        end(action);
    else
        deliver(action);
}

auto PlacementFixture::place(const PlacementAction& action) -> void
{
    if (m_fleet.place(action.m_job, action.m_worker).m_error != ErrorKind::None)
        return onNotRecorded(m_state, action.m_job);
    for (const auto& next : onPlaced(m_fleet.m_state, m_state, action.m_job, m_now))
        perform(next);
}

auto PlacementFixture::end(const PlacementAction& action) -> void
{
    const auto outcome = static_cast<wire::JobOutcome>(action.m_outcome);
    if (m_fleet.end(action.m_job, outcome, action.m_parked).m_error != ErrorKind::None)
        return onNotRecorded(m_state, action.m_job);
    onEnded(m_fleet.m_state, m_state, action.m_job, action.m_worker, action.m_outcome, m_now);
}

auto PlacementFixture::deliver(const PlacementAction& action) -> void
{
    auto& tasks = m_workers.at(action.m_worker).m_tasks;
    if (action.m_kind == PlacementActionKind::StartTask)
        tasks.try_emplace(action.m_job,
            TaskReport { action.m_job, action.m_attempt, action.m_leaseEpoch, TaskPhase::Running, 0, 0, "" });
    if (action.m_kind == PlacementActionKind::AcknowledgeEnd)
        tasks.erase(action.m_job);
    const auto task = tasks.find(action.m_job);
    if (!m_workersComply || task == tasks.end() || hasEnded(task->second.m_phase))
        return;
    if (action.m_kind == PlacementActionKind::CheckpointTask && m_checkpointsSucceed)
        task->second.m_phase = TaskPhase::Checkpointed;
    if (action.m_kind == PlacementActionKind::StopTask)
        task->second.m_phase = TaskPhase::Stopped;
}

auto PlacementFixture::report(const std::string& worker) -> void
{
    WorkerReport report { worker, m_workers.at(worker).m_incarnation, m_now.time_since_epoch().count(), {} };
    for (const auto& [id, task] : m_workers.at(worker).m_tasks)
        report.m_tasks.push_back(task);
    for (const auto& action : onReport(m_fleet.m_state, m_state, report, m_now))
        perform(action);
}

auto PlacementFixture::step() -> void
{
    for (const auto& [id, worker] : m_workers)
        report(id);
    for (const auto& action : plan())
        perform(action);
}

auto PlacementFixture::advance(Duration duration) -> void
{
    m_now += duration;
    m_fleet.m_now += duration.count();
}

auto PlacementFixture::stepFor(Duration duration) -> void
{
    for (const auto end = m_now + duration; m_now < end;) {
        advance(stepLength);
        step();
    }
}

auto PlacementFixture::endTask(const std::string& job, TaskPhase phase) -> void { task(job).m_phase = phase; }

auto PlacementFixture::task(const std::string& job) -> TaskReport&
{
    return m_workers.at(m_fleet.job(job).m_worker).m_tasks.at(job);
}

auto PlacementFixture::cancel(const std::string& job, const std::string& team) -> void
{
    wire::Operation operation;
    operation.mutable_cancel_jobs()->add_jobs(job);
    operation.mutable_cancel_jobs()->set_team(team);
    m_fleet.fold(operation);
}

auto PlacementFixture::runningOf(const std::string& team) const -> int
{
    auto running = 0;
    for (const auto& id : m_fleet.m_state.m_jobs.m_running)
        running += m_fleet.job(id).m_team == team ? 1 : 0;
    return running;
}

auto PlacementFixture::preemptionsSentFor(const std::string& job) const -> std::vector<PlacementActionKind>
{
    std::vector<PlacementActionKind> kinds;
    for (const auto& action : m_sent) {
        const auto isPreemption = action.m_kind == PlacementActionKind::ThrottleTask
            || action.m_kind == PlacementActionKind::UnthrottleTask
            || action.m_kind == PlacementActionKind::CheckpointTask || action.m_kind == PlacementActionKind::StopTask;
        if (action.m_job == job && isPreemption)
            kinds.push_back(action.m_kind);
    }
    return kinds;
}

} // namespace hemlockvane
