#include "hemlockvane/detail/api/JobsApi.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/detail/api/JsonResponse.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/Commit.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/crypto/Sha256.h"
#include "hemlockvane/detail/http/ErrorResponse.h"
#include "hemlockvane/detail/text/JsonFields.h"
#include "hemlockvane/detail/traffic/Authenticate.h"
#include "hemlockvane/detail/traffic/TrafficState.h"
#include "hemlockvane/placement/FleetCapacity.h"
#include "hemlockvane/placement/ResourceSize.h"

#include "hemlockvane/records.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t maximumJobIdBytes = 200;
constexpr std::size_t jobIdDigits = 32;

auto nameOf(JobStatus status) -> std::string_view
{
    switch (status) {
    case JobStatus::Queued:
        return "queued";
    case JobStatus::Running:
        return "running";
    case JobStatus::Finished:
        return "finished";
    case JobStatus::Parked:
        return "parked";
    case JobStatus::Cancelled:
        return "cancelled";
    }
    return "";
}

auto countOf(const json::object& body, std::string_view name, std::int64_t fallback) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, numberOf(body, name, fallback)));
}

auto toSubmit(const json::object& body, const Caller& caller, std::int64_t attempts) -> wire::SubmitJob
{
    wire::SubmitJob submit;
    const auto id = textOf(body, "job");
    submit.set_job(id.empty() ? "job-" + makeSecret().substr(0, jobIdDigits) : id);
    submit.set_team(caller.m_team);
    submit.set_queue(textOf(body, "queue"));
    submit.set_command(textOf(body, "command"));
    submit.mutable_size()->set_cores(countOf(body, "cores", 1));
    submit.mutable_size()->set_memory_mb(countOf(body, "memory_mb", 0));
    submit.mutable_size()->set_accelerators(countOf(body, "accelerators", 0));
    submit.mutable_size()->set_run_seconds(countOf(body, "run_seconds", 0));
    submit.set_urgent(flagOf(body, "urgent"));
    submit.set_repeatable(flagOf(body, "repeatable"));
    submit.set_max_attempts(countOf(body, "max_attempts", attempts));
    const auto deadline = numberOf(body, "deadline_ms");
    submit.set_deadline_at_ms(deadline > 0 ? wallNow() + deadline : 0);
    return submit;
}

auto hasSameContent(const JobRecord& job, const wire::SubmitJob& submit) -> bool
{
    return job.m_team == submit.team() && job.m_queue == submit.queue() && job.m_command == submit.command()
        && job.m_cores == submit.size().cores() && job.m_memoryMb == submit.size().memory_mb()
        && job.m_accelerators == submit.size().accelerators();
}

auto declaredSize(const wire::SubmitJob& submit) -> ResourceSize
{
    const auto& size = submit.size();
    return { size.cores() * milliPerCore, size.memory_mb(), size.accelerators() };
}

auto submittedResponse(const std::string& id, Offset offset) -> HttpResponse
{
    return jsonResponse({ { "job", id }, { "offset", offset } });
}

// Runs on the control thread. A repeated submission with the same id and content returns the existing job.
auto submitOnControl(ControlCore& core, wire::SubmitJob submit) -> asio::awaitable<HttpResponse>
{
    const auto id = submit.job();
    const auto known = core.m_state.m_jobs.m_jobs.find(id);
    if (known != core.m_state.m_jobs.m_jobs.end()) {
        if (hasSameContent(known->second, submit))
            co_return submittedResponse(id, known->second.m_submittedAt);
        co_return errorResponse({ ErrorKind::Conflict, "job " + id + " was submitted before with other content" });
    }
    FailureReason reason;
    if (!core.m_state.m_pools.m_instances.empty() && !isRunnable(core.m_state.m_pools, declaredSize(submit), reason))
        co_return errorResponse(reason);
    wire::Operation operation;
    operation.set_id("submit/" + submit.team() + "/" + id);
    *operation.mutable_submit_job() = std::move(submit);
    const auto result = co_await commit(core, std::move(operation));
    if (result.m_error != ErrorKind::None)
        co_return errorResponse({ result.m_error, result.m_reason });
    co_return submittedResponse(id, result.m_offset);
}

auto statusOnControl(ControlCore& core, std::string id, Caller caller) -> asio::awaitable<HttpResponse>
{
    const auto found = core.m_state.m_jobs.m_jobs.find(id);
    if (found == core.m_state.m_jobs.m_jobs.end() || found->second.m_team != caller.m_team)
        co_return errorResponse({ ErrorKind::NotFound, "the team has no job " + id });
    const auto& job = found->second;
    co_return jsonResponse(
        { { "job", id }, { "status", nameOf(job.m_status) }, { "queue", job.m_queue }, { "attempt", job.m_attempt },
            { "worker", job.m_worker }, { "reason", job.m_reason }, { "cancel_requested", job.m_cancelRequested } });
}

auto cancelOnControl(ControlCore& core, std::vector<std::string> ids, Caller caller) -> asio::awaitable<HttpResponse>
{
    wire::Operation operation;
    auto& cancel = *operation.mutable_cancel_jobs();
    cancel.set_team(caller.m_team);
    const auto key = core.m_state.m_keys.m_idByHash.find(caller.m_keyHash);
    cancel.set_author(key == core.m_state.m_keys.m_idByHash.end() ? std::string() : key->second);
    for (auto& id : ids)
        cancel.add_jobs(std::move(id));
    co_return resultResponse(co_await commit(core, std::move(operation)));
}

// Runs a coroutine function on the control thread. GCC 12 destroys a closure twice when it is a temporary of a
// co_await expression, so callers pass a named closure.
template <typename Function>
auto runOnControlThread(TrafficState& traffic, Function function) -> asio::awaitable<HttpResponse>
{
    co_return co_await asio::co_spawn(traffic.m_core.m_context, std::move(function), asio::use_awaitable);
}

auto submit(TrafficState& traffic, const TrafficView& view, const json::object& body, const Caller& caller)
    -> asio::awaitable<HttpResponse>
{
    const auto queue = textOf(body, "queue");
    if (queue.empty() || textOf(body, "job").size() > maximumJobIdBytes)
        co_return errorResponse({ ErrorKind::BadRequest, "a job needs a queue and an id of at most 200 bytes" });
    const auto attempts = effectiveValue(*view.m_configuration, "jobs.attempts", queue, wallNow()).m_value;
    auto change = toSubmit(body, caller, attempts);
    auto run = [&core = traffic.m_core, change]() { return submitOnControl(core, change); };
    co_return co_await runOnControlThread(traffic, std::move(run));
}

} // namespace

auto handleJobs(TrafficState& traffic, HttpRequest request) -> asio::awaitable<HttpResponse>
{
    const auto path = pathSegments(request.m_target);
    if (path.size() < 2 || path.size() > 3 || path[0] != "v1" || path[1] != "jobs")
        co_return errorResponse({ ErrorKind::NotFound, "there is no " + request.m_target });
    const auto body = parseObject(request.m_body);
    if (!body)
        co_return errorResponse({ ErrorKind::BadRequest, "the body must be a JSON object" });
    FailureReason reason;
    const auto view = currentView(traffic);
    const auto caller = authenticate(*view, request, textOf(*body, "queue"), monotonicNow(), reason);
    if (!caller)
        co_return errorResponse(reason);
    if (request.m_method == "POST" && path.size() == 2)
        co_return co_await submit(traffic, *view, *body, *caller);
    auto& core = traffic.m_core;
    if (request.m_method == "POST" && path.size() == 3 && path[2] == "cancel") {
        const auto ids = textsOf(*body, "jobs");
        auto run = [&core, ids, who = *caller]() { return cancelOnControl(core, ids, who); };
        co_return co_await runOnControlThread(traffic, std::move(run));
    }
    if (request.m_method == "GET" && path.size() == 3) {
        auto run = [&core, id = path[2], who = *caller]() { return statusOnControl(core, id, who); };
        co_return co_await runOnControlThread(traffic, std::move(run));
    }
    co_return errorResponse({ ErrorKind::NotFound, "there is no " + request.m_method + " " + request.m_target });
}

} // namespace hemlockvane::detail
