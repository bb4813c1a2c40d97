#include "hemlockvane/detail/platform/WorkerClient.h"

#include "hemlockvane/detail/http/HttpConnection.h"
#include "hemlockvane/detail/text/JsonFields.h"
#include "hemlockvane/placement/ResourceSize.h"

#include <boost/json.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned statusOk = 200;

auto phaseOf(const json::object& task) -> TaskPhase
{
    const auto state = textOf(task, "state");
    if (state == "finished")
        return TaskPhase::Finished;
    if (state == "failed")
        return TaskPhase::Failed;
    if (state == "stopped")
        return TaskPhase::Stopped;
    if (state == "checkpointed")
        return TaskPhase::Checkpointed;
    if (state == "refused")
        return TaskPhase::Refused;
    return flagOf(task, "throttled") ? TaskPhase::Throttled : TaskPhase::Running;
}

auto toTask(const json::object& task) -> TaskReport
{
    TaskReport report;
    report.m_job = textOf(task, "job");
    report.m_attempt = static_cast<std::uint32_t>(numberOf(task, "attempt"));
    report.m_leaseEpoch = static_cast<Offset>(numberOf(task, "lease_epoch"));
    report.m_phase = phaseOf(task);
    report.m_milliCores = static_cast<std::uint32_t>(numberOf(task, "cores_used") * milliPerCore);
    report.m_memoryMb = static_cast<std::uint32_t>(numberOf(task, "memory_mb_used"));
    report.m_reason = textOf(task, "reason");
    return report;
}

auto parseReport(std::string worker, const std::string& body, FailureReason& reason) -> std::optional<WorkerReport>
{
    const auto object = parseObject(body);
    const auto* tasks = object ? object->if_contains("tasks") : nullptr;
    if (tasks == nullptr || !tasks->is_array())
        return fail(reason, ErrorKind::AnswerLost, "the report of worker " + worker + " is malformed");
    WorkerReport report;
    report.m_worker = std::move(worker);
    report.m_incarnation = textOf(*object, "incarnation");
    report.m_workerClockMs = numberOf(*object, "clock_ms");
    for (const auto& task : tasks->as_array()) {
        if (task.is_object())
            report.m_tasks.push_back(toTask(task.as_object()));
    }
    return report;
}

} // namespace

auto readWorkerReport(std::string worker, std::string address, std::chrono::milliseconds timeout, FailureReason& reason)
    -> asio::awaitable<std::optional<WorkerReport>>
{
    HttpRequest request;
    request.m_target = "/v1/tasks";
    const auto response = co_await httpCall(address, request, timeout, reason);
    if (!response)
        co_return std::nullopt;
    co_return parseReport(std::move(worker), response->m_body, reason);
}

auto commandWorker(std::string address, std::string path, json::object body, std::chrono::milliseconds timeout,
    FailureReason& reason) -> asio::awaitable<bool>
{
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = std::move(path);
    request.m_body = json::serialize(body);
    const auto response = co_await httpCall(address, request, timeout, reason);
    if (response && response->m_status != statusOk)
        fail(reason, ErrorKind::Conflict, "the worker answered " + response->m_body);
    co_return response && response->m_status == statusOk;
}

} // namespace hemlockvane::detail
