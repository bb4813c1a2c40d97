#include "hemlockvane/detail/control/PlacementDriver.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/Commit.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/control/PlanDelayLimits.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/platform/WorkerClient.h"
#include "hemlockvane/membership/Duties.h"
#include "hemlockvane/placement/PlanPlacement.h"
#include "hemlockvane/placement/TrackTasks.h"

#include "hemlockvane/records.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace hemlockvane::detail {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration reportInterval { 1000 };
constexpr Duration workerTimeout { 1000 };
constexpr std::uint32_t maximumPermitDemand = 256; // Permits demanded for one team at a time.

auto carryOutAll(PlacementDriver& driver, const std::vector<PlacementAction>& actions) -> void;

auto toOperation(const PlacementAction& action) -> wire::Operation
{
    wire::Operation operation;
    const auto fill = [&](auto& change) {
        change.mutable_fence()->set_duty(std::string(placementDuty));
        change.mutable_fence()->set_epoch(action.m_fenceEpoch);
        change.set_job(action.m_job);
        change.set_attempt(action.m_attempt);
    };
    if (action.m_kind == PlacementActionKind::PlaceJob) {
        fill(*operation.mutable_place_job());
        operation.mutable_place_job()->set_worker(action.m_worker);
        return operation;
    }
    auto& change = *operation.mutable_end_attempt();
    fill(change);
    change.set_outcome(static_cast<wire::JobOutcome>(action.m_outcome));
    change.set_reason(action.m_reason);
    change.set_parked(action.m_parked);
    return operation;
}

// Retries until the outcome is certain: an action whose record may be in the log must not be planned again.
auto commitUntilCertain(ControlCore& core, wire::Operation operation) -> asio::awaitable<OperationResult>
{
    operation.set_id(newOperationId(core));
    auto result = co_await commit(core, operation);
    while (result.m_error == ErrorKind::OutcomeUnknown && !core.m_isStopped)
        result = co_await commit(core, operation);
    co_return result;
}

auto teamOf(const ControlCore& core, std::string_view job) -> std::string
{
    const auto found = core.m_state.m_jobs.m_jobs.find(job);
    return found == core.m_state.m_jobs.m_jobs.end() ? std::string() : found->second.m_team;
}

auto recordAction(PlacementDriver& driver, PlacementAction action) -> asio::awaitable<void>
{
    auto& core = driver.m_core;
    const auto team = teamOf(core, action.m_job);
    const auto operation = toOperation(action);
    const auto result = co_await commitUntilCertain(core, operation);
    const auto isAccepted = result.m_error == ErrorKind::None;
    if (action.m_kind == PlacementActionKind::PlaceJob)
        driver.m_permits.m_release(team, isAccepted ? result.m_offset : 0);
    if (result.m_error != ErrorKind::None) {
        logOf("placement").warn("action for job {} not recorded: {}", action.m_job, result.m_reason);
        onNotRecorded(driver.m_state, action.m_job);
        co_return;
    }
    if (action.m_kind == PlacementActionKind::PlaceJob)
        carryOutAll(driver, onPlaced(core.m_state, driver.m_state, action.m_job, monotonicNow()));
    else
        onEnded(core.m_state, driver.m_state, action.m_job, action.m_worker, action.m_outcome, monotonicNow());
}

auto startBody(const ControlCore& core, const PlacementAction& action) -> json::object
{
    const auto found = core.m_state.m_jobs.m_jobs.find(action.m_job);
    if (found == core.m_state.m_jobs.m_jobs.end())
        return {};
    const auto& job = found->second;
    return { { "job", action.m_job }, { "attempt", action.m_attempt }, { "lease_epoch", action.m_leaseEpoch },
        { "lease_until", action.m_leaseUntil }, { "command", job.m_command }, { "cores", job.m_cores },
        { "memory_mb", job.m_memoryMb } };
}

// Name of an action in log lines. For a command to a task it is also the last segment of the path.
auto nameOf(PlacementActionKind kind) -> std::string_view
{
    switch (kind) {
    case PlacementActionKind::PlaceJob:
        return "place";
    case PlacementActionKind::EndAttempt:
        return "end";
    case PlacementActionKind::RenewLease:
        return "renew";
    case PlacementActionKind::StartTask:
        return "start";
    case PlacementActionKind::ThrottleTask:
        return "throttle";
    case PlacementActionKind::UnthrottleTask:
        return "release";
    case PlacementActionKind::CheckpointTask:
        return "checkpoint";
    case PlacementActionKind::StopTask:
        return "stop";
    case PlacementActionKind::AcknowledgeEnd:
        return "acknowledge";
    }
    return "";
}

auto commandOf(const ControlCore& core, const PlacementAction& action) -> std::pair<std::string, json::object>
{
    if (action.m_kind == PlacementActionKind::RenewLease)
        return { "/v1/lease", { { "lease_until", action.m_leaseUntil } } };
    if (action.m_kind == PlacementActionKind::StartTask)
        return { "/v1/tasks", startBody(core, action) };
    return { "/v1/tasks/" + action.m_job + "/" + std::string(nameOf(action.m_kind)),
        { { "lease_epoch", action.m_leaseEpoch } } };
}

auto sendAction(PlacementDriver& driver, PlacementAction action) -> asio::awaitable<void>
{
    auto& core = driver.m_core;
    if (!dutyEpoch(core, placementDuty))
        co_return;
    const auto* worker = findWorker(core.m_listed, action.m_worker);
    const auto address = worker != nullptr ? worker->m_address : std::string();
    auto [path, body] = commandOf(core, action);
    FailureReason reason;
    if (!co_await commandWorker(address, std::move(path), std::move(body), workerTimeout, reason))
        logOf("placement").warn("worker {}: {}", action.m_worker, reason.m_text);
}

auto carryOut(PlacementDriver& driver, const PlacementAction& action) -> void
{
    const auto isRecord
        = action.m_kind == PlacementActionKind::PlaceJob || action.m_kind == PlacementActionKind::EndAttempt;
    if (action.m_kind != PlacementActionKind::RenewLease)
        logOf("placement")
            .info("{} job {} attempt {} on {}: {}", nameOf(action.m_kind), action.m_job, action.m_attempt,
                action.m_worker, action.m_reason);
    auto& context = driver.m_core.m_context;
    if (isRecord)
        asio::co_spawn(context, recordAction(driver, action), asio::detached);
    else
        asio::co_spawn(context, sendAction(driver, action), asio::detached);
}

auto carryOutAll(PlacementDriver& driver, const std::vector<PlacementAction>& actions) -> void
{
    for (const auto& action : actions)
        carryOut(driver, action);
}

auto requestWorkerReport(PlacementDriver& driver, std::string worker, std::string address) -> asio::awaitable<void>
{
    FailureReason reason;
    const auto epoch = driver.m_state.m_epoch;
    const auto report = co_await readWorkerReport(worker, std::move(address), workerTimeout, reason);
    driver.m_pendingReports.erase(worker);
    if (report && dutyEpoch(driver.m_core, placementDuty) == epoch)
        carryOutAll(driver, onReport(driver.m_core.m_state, driver.m_state, *report, monotonicNow()));
}

auto requestWorkerReports(PlacementDriver& driver) -> void
{
    const auto now = monotonicNow();
    for (const auto& instance : driver.m_core.m_listed) {
        if (instance.m_kind != "worker" || now < driver.m_nextReportAt[instance.m_id])
            continue;
        if (!driver.m_pendingReports.insert(instance.m_id).second)
            continue;
        driver.m_nextReportAt[instance.m_id] = now + reportInterval;
        asio::co_spawn(
            driver.m_core.m_context, requestWorkerReport(driver, instance.m_id, instance.m_address), asio::detached);
    }
}

auto waitingByTeam(const ControlCore& core) -> TeamCounts
{
    TeamCounts waiting;
    for (const auto& id : core.m_state.m_jobs.m_queued) {
        auto& count = waiting[teamOf(core, id)];
        count = std::min(count + 1, maximumPermitDemand);
    }
    return waiting;
}

auto releaseUnused(PlacementDriver& driver, TeamCounts permits, const std::vector<PlacementAction>& actions) -> void
{
    for (const auto& action : actions) {
        if (action.m_kind == PlacementActionKind::PlaceJob)
            --permits[teamOf(driver.m_core, action.m_job)];
    }
    for (const auto& [team, count] : permits) {
        for (std::uint32_t i = 0; i < count; ++i)
            driver.m_permits.m_release(team, 0);
    }
}

auto planOnce(PlacementDriver& driver) -> asio::awaitable<void>
{
    auto& core = driver.m_core;
    const auto epoch = driver.m_state.m_epoch;
    auto waiting = waitingByTeam(core);
    PlacementInput input;
    input.m_permits = co_await driver.m_permits.m_acquire(std::move(waiting));
    std::vector<PlacementAction> actions;
    if (dutyEpoch(core, placementDuty) == epoch) {
        input.m_now = monotonicNow();
        input.m_wallNow = wallNow();
        input.m_mayPlace = core.m_isLogReachable;
        const auto startedAt = std::chrono::steady_clock::now();
        actions = planPlacement(core.m_state, driver.m_state, input);
        const auto duration = std::chrono::steady_clock::now() - startedAt;
        driver.m_planDuration = std::chrono::duration_cast<std::chrono::microseconds>(duration);
        core.m_metrics.observe("placement_plan_seconds", driver.m_planDuration);
    }
    releaseUnused(driver, input.m_permits, actions);
    carryOutAll(driver, actions);
}

// After losing the duty, reports that no jobs wait, so that this entry demands no permits for jobs any more.
auto withdrawPermitDemand(PlacementDriver& driver) -> asio::awaitable<void>
{
    if (!driver.m_isActive)
        co_return;
    driver.m_isActive = false;
    TeamCounts none;
    co_await driver.m_permits.m_acquire(std::move(none));
}

} // namespace

auto runPlacement(PlacementDriver& driver) -> asio::awaitable<void>
{
    auto& core = driver.m_core;
    while (!core.m_isStopped) {
        co_await sleepFor(delayAfterPlan({}, driver.m_planDuration));
        const auto epoch = dutyEpoch(core, placementDuty);
        if (!epoch) {
            co_await withdrawPermitDemand(driver);
            continue;
        }
        driver.m_isActive = true;
        if (driver.m_state.m_epoch != *epoch) {
            driver.m_state = {};
            beginPlacement(driver.m_state, *epoch, monotonicNow());
            logOf("placement").info("acquired the placement duty, epoch {}", *epoch);
        }
        requestWorkerReports(driver);
        co_await planOnce(driver);
    }
}

} // namespace hemlockvane::detail
