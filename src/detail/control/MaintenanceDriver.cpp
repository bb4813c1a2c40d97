#include "hemlockvane/detail/control/MaintenanceDriver.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/Commit.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/platform/WorkerClient.h"
#include "hemlockvane/maintenance/PlanWave.h"
#include "hemlockvane/membership/Duties.h"

#include "hemlockvane/records.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration planInterval { 500 };
constexpr Duration workerTimeout { 1000 };
constexpr Duration maximumListAge { 5000 };
constexpr std::string_view authorName = "maintenance";

auto fillFence(wire::Fence& fence, const WaveAction& action) -> void
{
    fence.set_duty(std::string(maintenanceDuty));
    fence.set_epoch(action.m_fenceEpoch);
}

auto toOperation(const WaveAction& action) -> wire::Operation
{
    wire::Operation operation;
    switch (action.m_kind) {
    case WaveActionKind::BeginDrain:
        fillFence(*operation.mutable_begin_drain()->mutable_fence(), action);
        operation.mutable_begin_drain()->set_wave(action.m_wave);
        operation.mutable_begin_drain()->set_instance(action.m_instance);
        break;
    case WaveActionKind::EndDrain:
        fillFence(*operation.mutable_end_drain()->mutable_fence(), action);
        operation.mutable_end_drain()->set_wave(action.m_wave);
        operation.mutable_end_drain()->set_instance(action.m_instance);
        operation.mutable_end_drain()->set_healthy(action.m_healthy);
        break;
    case WaveActionKind::PauseWave:
        operation.mutable_pause_wave()->set_wave(action.m_wave);
        operation.mutable_pause_wave()->set_paused(true);
        operation.mutable_pause_wave()->set_author(std::string(authorName));
        operation.mutable_pause_wave()->set_reason(action.m_reason);
        break;
    case WaveActionKind::MarkInstance:
        operation.mutable_mark_instance()->set_instance(action.m_instance);
        operation.mutable_mark_instance()->set_available(action.m_healthy);
        operation.mutable_mark_instance()->set_author(std::string(authorName));
        break;
    case WaveActionKind::Reboot:
        break;
    }
    return operation;
}

auto nameOf(WaveActionKind kind) -> std::string_view
{
    switch (kind) {
    case WaveActionKind::BeginDrain:
        return "begin drain of";
    case WaveActionKind::EndDrain:
        return "end drain of";
    case WaveActionKind::PauseWave:
        return "pause";
    case WaveActionKind::MarkInstance:
        return "mark";
    case WaveActionKind::Reboot:
        return "reboot";
    }
    return "";
}

auto recordAction(MaintenanceDriver& driver, WaveAction action) -> asio::awaitable<void>
{
    auto operation = toOperation(action);
    const auto result = co_await commit(driver.m_core, std::move(operation));
    if (result.m_error != ErrorKind::None)
        logOf("maintenance")
            .warn("{} {}{} not recorded: {}", nameOf(action.m_kind), action.m_wave, action.m_instance, result.m_reason);
    onWaveRecorded(driver.m_state, action);
}

auto rebootWorker(MaintenanceDriver& driver, std::string address) -> asio::awaitable<void>
{
    if (!dutyEpoch(driver.m_core, maintenanceDuty))
        co_return;
    FailureReason reason;
    const json::object emptyBody;
    if (co_await commandWorker(address, "/v1/drain", emptyBody, workerTimeout, reason)
        && co_await commandWorker(address, "/v1/reboot", emptyBody, workerTimeout, reason))
        co_return;
    logOf("maintenance").warn("worker at {} did not accept the reboot command: {}", address, reason.m_text);
}

auto carryOut(MaintenanceDriver& driver, const WaveAction& action) -> void
{
    logOf("maintenance")
        .info("{} {} wave {}: {}", nameOf(action.m_kind), action.m_instance, action.m_wave, action.m_reason);
    auto& context = driver.m_core.m_context;
    if (action.m_kind != WaveActionKind::Reboot) {
        asio::co_spawn(context, recordAction(driver, action), asio::detached);
        return;
    }
    if (const auto* worker = findWorker(driver.m_core.m_listed, action.m_instance))
        asio::co_spawn(context, rebootWorker(driver, worker->m_address), asio::detached);
}

auto requestWorkerReport(MaintenanceDriver& driver, std::string id, std::string address) -> asio::awaitable<void>
{
    FailureReason reason;
    const auto report = co_await readWorkerReport(id, std::move(address), workerTimeout, reason);
    driver.m_pendingReports.erase(id);
    if (!report) {
        driver.m_currentIncarnations.erase(id);
        co_return;
    }
    driver.m_initialIncarnations.try_emplace(id, report->m_incarnation);
    driver.m_currentIncarnations[id] = report->m_incarnation;
}

// Requests reports of the draining workers; a report carries the incarnation, which changes with a reboot.
auto requestDrainingReports(MaintenanceDriver& driver) -> void
{
    for (const auto& [id, instance] : driver.m_core.m_state.m_pools.m_instances) {
        if (instance.m_drainingFor.empty()) {
            driver.m_initialIncarnations.erase(id);
            driver.m_currentIncarnations.erase(id);
            continue;
        }
        const auto* worker = findWorker(driver.m_core.m_listed, id);
        if (worker != nullptr && driver.m_pendingReports.insert(id).second)
            asio::co_spawn(driver.m_core.m_context, requestWorkerReport(driver, id, worker->m_address), asio::detached);
    }
}

auto healthOf(const MaintenanceDriver& driver, const std::string& id, bool isDraining) -> InstanceHealth
{
    if (!isDraining)
        return { true, false };
    const auto before = driver.m_initialIncarnations.find(id);
    const auto current = driver.m_currentIncarnations.find(id);
    const auto hasReports
        = before != driver.m_initialIncarnations.end() && current != driver.m_currentIncarnations.end();
    return { hasReports, hasReports && before->second != current->second };
}

auto makeInput(const MaintenanceDriver& driver) -> WaveInput
{
    const auto& core = driver.m_core;
    WaveInput input;
    input.m_now = wallNow();
    input.m_mayAct = core.m_isLogReachable && monotonicNow() - core.m_listRequestedAt < maximumListAge;
    for (const auto& listed : core.m_listed) {
        if (listed.m_kind != "worker" || listed.m_isLeaving)
            continue;
        const auto found = core.m_state.m_pools.m_instances.find(listed.m_id);
        const auto isDraining = found != core.m_state.m_pools.m_instances.end() && !found->second.m_drainingFor.empty();
        input.m_health[listed.m_id] = healthOf(driver, listed.m_id, isDraining);
    }
    return input;
}

} // namespace

auto runMaintenance(MaintenanceDriver& driver) -> asio::awaitable<void>
{
    auto& core = driver.m_core;
    while (!core.m_isStopped) {
        co_await sleepFor(planInterval);
        const auto epoch = dutyEpoch(core, maintenanceDuty);
        if (!epoch)
            continue;
        if (driver.m_state.m_epoch != *epoch) {
            driver.m_state = {};
            driver.m_state.m_epoch = *epoch;
            logOf("maintenance").info("acquired the maintenance duty, epoch {}", *epoch);
        }
        requestDrainingReports(driver);
        for (const auto& action : planWave(core.m_state, driver.m_state, makeInput(driver)))
            carryOut(driver, action);
    }
}

} // namespace hemlockvane::detail
