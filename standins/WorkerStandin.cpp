#include "Json.h"
#include "StandinServer.h"

#include "hemlockvane/detail/program/RunMain.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <map>

namespace hemlockvane::standins {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

namespace {

constexpr std::int64_t builtInRunMs = 200;
constexpr std::int64_t builtInLeaseMs = 10000;
constexpr std::int64_t failAfterMs = 10;
constexpr int throttleFactor = 2; // A throttled task takes this many times as long.

struct Task {
    std::string m_job;
    std::int64_t m_attempt = 0;
    std::int64_t m_leaseEpoch = 0;
    std::int64_t m_cores = 0;
    std::int64_t m_memoryMb = 0;
    std::string m_state = "running";
    std::string m_reason;
    bool m_isThrottled = false;
    bool m_willFail = false;
    std::int64_t m_checkpointMs = 0; // Work saved at the last checkpoint.
    Clock::time_point m_startedAt;
    Clock::time_point m_endsAt;
    Clock::time_point m_leasedUntil;
};

struct WorkerFaults {
    bool m_failsAll = false;
    bool m_hangs = false;
    bool m_refuses = false;
};

struct Worker {
    std::string m_name;
    std::uint64_t m_incarnation = 1; // Incremented by a reboot, which removes all tasks.
    Milliseconds m_usageLag { 0 };
    std::int64_t m_usagePercent = 100; // Reported usage as a percentage of what a task declares.

    WorkerFaults m_faults;
    bool m_isDraining = false;
    Clock::time_point m_downUntil;
    std::map<std::string, Task> m_tasks; // Newest attempt, by job id.
    std::map<std::string, std::uint64_t> m_executionsByJob;
    std::uint64_t m_leasesLapsed = 0;
};

auto end(Task& task, std::string state, std::string reason) -> void
{
    task.m_state = std::move(state);
    task.m_reason = std::move(reason);
}

// Ends the tasks whose run time or lease has ended by now, by whichever came first.
auto endDueTasks(Worker& worker) -> void
{
    const auto now = Clock::now();
    for (auto& [job, task] : worker.m_tasks) {
        if (task.m_state != "running")
            continue;
        if (task.m_leasedUntil <= now && task.m_leasedUntil < task.m_endsAt) {
            ++worker.m_leasesLapsed;
            end(task, "stopped", "the lease lapsed");
        } else if (task.m_endsAt <= now) {
            end(task, task.m_willFail ? "failed" : "finished", task.m_willFail ? "the task failed" : "");
        }
    }
}

// Run time from a command "sleep MS", otherwise from the field run_ms.
auto runTime(const boost::json::object& request) -> Milliseconds
{
    constexpr std::string_view prefix = "sleep ";
    const auto command = textOf(request, "command");
    auto milliseconds = numberOf(request, "run_ms", builtInRunMs);
    if (command.starts_with(prefix))
        std::from_chars(command.data() + prefix.size(), command.data() + command.size(), milliseconds);
    return Milliseconds(milliseconds);
}

auto startAnswer(const Worker& worker, const Task& task) -> StandinAnswer
{
    return jsonAnswer(200,
        { { "started", true }, { "worker", worker.m_name }, { "job", task.m_job },
            { "lease_epoch", task.m_leaseEpoch } });
}

auto clockMs() -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch()).count();
}

// End of a lease: lease_until on this worker's own clock, otherwise lease_ms from now.
auto leaseEnd(const boost::json::object& request) -> Clock::time_point
{
    const auto until = numberOf(request, "lease_until");
    if (until != 0)
        return Clock::time_point(Milliseconds(until));
    return Clock::now() + Milliseconds(numberOf(request, "lease_ms", builtInLeaseMs));
}

auto newTask(const Worker& worker, const boost::json::object& request) -> Task
{
    const auto now = Clock::now();
    Task task;
    task.m_job = textOf(request, "job");
    task.m_attempt = numberOf(request, "attempt");
    task.m_leaseEpoch = numberOf(request, "lease_epoch");
    task.m_cores = numberOf(request, "cores");
    task.m_memoryMb = numberOf(request, "memory_mb");
    task.m_willFail = worker.m_faults.m_failsAll || textOf(request, "command") == "fail";
    task.m_startedAt = now;
    task.m_endsAt = now + (task.m_willFail ? Milliseconds(failAfterMs) : runTime(request));
    task.m_leasedUntil = leaseEnd(request);
    return task;
}

// Keeps a refused task in the list: its state shows the entry that the task was certainly not started.
auto refuseTask(Worker& worker, Task task, std::string_view reason) -> StandinAnswer
{
    end(task, "refused", std::string(reason));
    worker.m_tasks[task.m_job] = std::move(task);
    return refusal(503, reason);
}

auto start(Worker& worker, const boost::json::object& request) -> StandinAnswer
{
    auto task = newTask(worker, request);
    if (task.m_job.empty())
        return refusal(400, "the job id is missing");
    const auto known = worker.m_tasks.find(task.m_job);
    if (known != worker.m_tasks.end() && known->second.m_leaseEpoch > task.m_leaseEpoch)
        return refusal(409, "an older lease epoch");
    if (known != worker.m_tasks.end() && known->second.m_leaseEpoch == task.m_leaseEpoch)
        return known->second.m_state == "refused" ? refusal(503, known->second.m_reason)
                                                  : startAnswer(worker, known->second);
    if (worker.m_faults.m_refuses || worker.m_isDraining)
        return refuseTask(worker, std::move(task), worker.m_isDraining ? "draining" : "refused");
    if (task.m_leasedUntil <= Clock::now())
        return refusal(409, "the lease has ended");
    ++worker.m_executionsByJob[task.m_job];
    auto& stored = worker.m_tasks[task.m_job] = std::move(task);
    return startAnswer(worker, stored);
}

auto throttle(Task& task) -> void
{
    if (task.m_isThrottled)
        return;
    const auto now = Clock::now();
    task.m_isThrottled = true;
    task.m_endsAt = now + throttleFactor * (task.m_endsAt - now);
}

auto workDoneMs(const Task& task) -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - task.m_startedAt).count();
}

auto checkpoint(Task& task) -> void
{
    task.m_checkpointMs = workDoneMs(task);
    end(task, "checkpointed", "checkpointed by request");
}

auto runTaskCommand(Task& task, std::string_view command, const boost::json::object& request) -> StandinAnswer
{
    const auto epoch = numberOf(request, "lease_epoch", task.m_leaseEpoch);
    if (epoch < task.m_leaseEpoch)
        return refusal(409, "an older lease epoch");
    if (task.m_state != "running")
        return refusal(409, "the task is " + task.m_state);
    if (command == "renew")
        task.m_leasedUntil = leaseEnd(request);
    else if (command == "throttle")
        throttle(task);
    else if (command == "release")
        task.m_isThrottled = false;
    else if (command == "checkpoint")
        checkpoint(task);
    else if (command == "stop")
        end(task, "stopped", "stopped by request");
    else
        return refusal(404, "no such command");
    return jsonAnswer(200, { { "state", task.m_state }, { "checkpoint_ms", task.m_checkpointMs } });
}

auto usageOf(const Worker& worker, const Task& task, std::int64_t declared) -> std::int64_t
{
    const auto isReported = task.m_state == "running" && Clock::now() - task.m_startedAt >= worker.m_usageLag;
    return isReported ? declared * worker.m_usagePercent / 100 : 0;
}

auto describeTask(const Worker& worker, const Task& task) -> boost::json::object
{
    return { { "job", task.m_job }, { "attempt", task.m_attempt }, { "lease_epoch", task.m_leaseEpoch },
        { "state", task.m_state }, { "reason", task.m_reason }, { "throttled", task.m_isThrottled },
        { "checkpoint_ms", task.m_checkpointMs }, { "cores_used", usageOf(worker, task, task.m_cores) },
        { "memory_mb_used", usageOf(worker, task, task.m_memoryMb) } };
}

auto listTasks(const Worker& worker) -> StandinAnswer
{
    boost::json::array tasks;
    for (const auto& [job, task] : worker.m_tasks)
        tasks.emplace_back(describeTask(worker, task));
    boost::json::object executions;
    for (const auto& [job, count] : worker.m_executionsByJob)
        executions[job] = count;
    return jsonAnswer(200,
        { { "worker", worker.m_name }, { "incarnation", std::to_string(worker.m_incarnation) },
            { "clock_ms", clockMs() }, { "draining", worker.m_isDraining }, { "tasks", std::move(tasks) },
            { "executions", std::move(executions) }, { "leases_lapsed", worker.m_leasesLapsed } });
}

// Renews the leases of all tasks; a lease is never shortened.
auto renewAll(Worker& worker, const boost::json::object& request) -> StandinAnswer
{
    for (auto& [job, task] : worker.m_tasks)
        task.m_leasedUntil = std::max(task.m_leasedUntil, leaseEnd(request));
    return jsonAnswer(200, { { "accepted", true } });
}

// Removes a task that has ended, if its lease epoch is the one in the request.
auto acknowledge(Worker& worker, const std::string& job, const boost::json::object& request) -> StandinAnswer
{
    const auto found = worker.m_tasks.find(job);
    if (found != worker.m_tasks.end() && found->second.m_state != "running"
        && found->second.m_leaseEpoch == numberOf(request, "lease_epoch"))
        worker.m_tasks.erase(found);
    return jsonAnswer(200, { { "accepted", true } });
}

auto reboot(Worker& worker, const boost::json::object& request) -> StandinAnswer
{
    worker.m_tasks.clear();
    ++worker.m_incarnation;
    worker.m_isDraining = false;
    worker.m_downUntil = Clock::now() + Milliseconds(numberOf(request, "ms"));
    return jsonAnswer(200, { { "accepted", true } });
}

auto faultsAnswer(const WorkerFaults& faults) -> StandinAnswer
{
    return jsonAnswer(
        200, { { "fail_all", faults.m_failsAll }, { "hang", faults.m_hangs }, { "refuse", faults.m_refuses } });
}

auto setFaults(WorkerFaults& faults, const boost::json::object& request) -> StandinAnswer
{
    faults.m_failsAll = flagOf(request, "fail_all", faults.m_failsAll);
    faults.m_hangs = flagOf(request, "hang", faults.m_hangs);
    faults.m_refuses = flagOf(request, "refuse", faults.m_refuses);
    return faultsAnswer(faults);
}

auto commandByPath(Worker& worker, std::string_view path, const boost::json::object& request) -> StandinAnswer
{
    const auto slash = path.rfind('/');
    const auto task = worker.m_tasks.find(std::string(path.substr(0, slash)));
    if (slash != std::string_view::npos && path.substr(slash + 1) == "acknowledge")
        return acknowledge(worker, std::string(path.substr(0, slash)), request);
    if (slash == std::string_view::npos || task == worker.m_tasks.end())
        return refusal(404, "no such task");
    return runTaskCommand(task->second, path.substr(slash + 1), request);
}

auto answer(Worker& worker, const detail::HttpRequest& request) -> StandinAnswer
{
    constexpr std::string_view tasks = "/v1/tasks";
    const auto path = pathOf(request.m_target);
    const auto body = parseObject(request.m_body);
    if (!body)
        return refusal(400, "expected a JSON object");
    if (path == "/faults")
        return request.m_method == "POST" ? setFaults(worker.m_faults, *body) : faultsAnswer(worker.m_faults);
    if (Clock::now() < worker.m_downUntil)
        return refusal(503, "rebooting");
    endDueTasks(worker);
    if (path == tasks)
        return request.m_method == "POST" ? start(worker, *body) : listTasks(worker);
    if (request.m_method != "POST")
        return refusal(404, "no such path");
    if (path == "/v1/lease")
        return renewAll(worker, *body);
    if (path == "/v1/reboot")
        return reboot(worker, *body);
    if (path == "/v1/drain") {
        worker.m_isDraining = true;
        return jsonAnswer(200, { { "accepted", true } });
    }
    if (path.starts_with(tasks) && path.size() > tasks.size() + 1)
        return commandByPath(worker, path.substr(tasks.size() + 1), *body);
    return refusal(404, "no such path");
}

auto handle(Worker& worker, detail::HttpRequest request) -> asio::awaitable<StandinAnswer>
{
    if (worker.m_faults.m_hangs && pathOf(request.m_target) != "/faults") {
        asio::steady_timer never(co_await asio::this_coro::executor, Clock::time_point::max());
        co_await never.async_wait(asio::use_awaitable);
    }
    co_return answer(worker, request);
}

auto run(int argc, char** argv) -> int
{
    TCLAP::CmdLine line("Stand-in for a worker");
    TCLAP::ValueArg<std::string> listen("", "listen", "address to listen on", false, "127.0.0.1:0", "IP:port", line);
    TCLAP::ValueArg<std::string> name("", "name", "name given in responses", false, "worker", "name", line);
    TCLAP::ValueArg<std::int64_t> lag("", "usage-lag-ms", "delay until usage is reported", false, 0, "ms", line);
    TCLAP::ValueArg<std::int64_t> usage(
        "", "usage-percent", "reported usage as a percentage of what a task declares", false, 100, "percent", line);
    line.parse(argc, argv);
    Worker worker;
    worker.m_name = name.getValue();
    worker.m_usageLag = Milliseconds(lag.getValue());
    worker.m_usagePercent = usage.getValue();
    boost::asio::io_context context(1);
    StandinServer server(context, [&](detail::HttpRequest request) { return handle(worker, std::move(request)); });
    return runUntilStopped(context, server, listen.getValue());
}

} // namespace

} // namespace hemlockvane::standins

/// @brief Stand-in for a worker, which runs tasks under leases.
auto main(int argc, char** argv) -> int { return hemlockvane::detail::runMain(argc, argv, hemlockvane::standins::run); }
