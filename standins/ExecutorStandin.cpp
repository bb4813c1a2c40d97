#include "Json.h"
#include "StandinServer.h"

#include "hemlockvane/detail/program/RunMain.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <chrono>
#include <map>
#include <utility>
#include <vector>

namespace hemlockvane::standins {

namespace asio = boost::asio;

namespace {

struct ExecutorFaults {
    std::int64_t m_delayMs = 0;
    bool m_cutsShort = false;
    bool m_fails = false;
    bool m_garbles = false;
};

// Begin and end of a request's execution, in us on the clock that all processes of the machine share.
struct Execution {
    std::int64_t m_beganAtUs = 0;
    std::int64_t m_endedAtUs = 0;
};

struct Executor {
    std::string m_name;
    std::string m_service;
    std::size_t m_slots = 8;
    std::int64_t m_workMs = 0;

    ExecutorFaults m_faults;
    std::size_t m_busy = 0;
    std::size_t m_largestBusy = 0;
    std::uint64_t m_refused = 0; // Requests refused because no slot was free.
    std::uint64_t m_total = 0;
    std::map<std::string, std::uint64_t> m_executionsByKey;
    std::vector<Execution> m_endedExecutions; // Since they were last asked for.
};

auto steadyMicroseconds() -> std::int64_t
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

// Executions that ended since the last such request, as pairs of begin and end.
auto takeEndedExecutions(Executor& executor) -> StandinAnswer
{
    boost::json::array rows;
    for (const auto& execution : std::exchange(executor.m_endedExecutions, {}))
        rows.push_back(boost::json::array { execution.m_beganAtUs, execution.m_endedAtUs });
    return jsonAnswer(200, { { "executions", std::move(rows) } });
}

auto executionsAnswer(const Executor& executor) -> StandinAnswer
{
    boost::json::object keys;
    for (const auto& [key, count] : executor.m_executionsByKey)
        keys[key] = count;
    return jsonAnswer(200,
        { { "total", executor.m_total }, { "busy", executor.m_busy }, { "largest_busy", executor.m_largestBusy },
            { "refused", executor.m_refused }, { "keys", std::move(keys) } });
}

auto faultsAnswer(const Executor& executor) -> StandinAnswer
{
    const auto& faults = executor.m_faults;
    return jsonAnswer(200,
        { { "delay_ms", faults.m_delayMs }, { "cut_short", faults.m_cutsShort }, { "fail", faults.m_fails },
            { "garble", faults.m_garbles }, { "work_ms", executor.m_workMs } });
}

// The response to the request that switches the fault "silent" on is sent on an open connection, so the fault is
// applied a moment later.
auto silenceSoon(StandinServer& server) -> asio::awaitable<void>
{
    constexpr std::chrono::milliseconds answerTime { 20 };
    asio::steady_timer timer(co_await asio::this_coro::executor, answerTime);
    co_await timer.async_wait(asio::use_awaitable);
    server.silenceOpenConnections();
}

auto setFaults(Executor& executor, std::string_view body) -> StandinAnswer
{
    const auto object = parseObject(body);
    if (!object)
        return refusal(400, "expected a JSON object");
    auto& faults = executor.m_faults;
    faults.m_delayMs = numberOf(*object, "delay_ms", faults.m_delayMs);
    faults.m_cutsShort = flagOf(*object, "cut_short", faults.m_cutsShort);
    faults.m_fails = flagOf(*object, "fail", faults.m_fails);
    faults.m_garbles = flagOf(*object, "garble", faults.m_garbles);
    executor.m_workMs = numberOf(*object, "work_ms", executor.m_workMs);
    return faultsAnswer(executor);
}

auto deliveryOf(const ExecutorFaults& faults) -> Delivery
{
    if (faults.m_garbles)
        return Delivery::Garbled;
    return faults.m_cutsShort ? Delivery::Truncated : Delivery::Complete;
}

auto execute(Executor& executor, detail::HttpRequest request) -> asio::awaitable<StandinAnswer>
{
    if (executor.m_busy >= executor.m_slots) {
        ++executor.m_refused;
        co_return refusal(503, "no free slot");
    }
    ++executor.m_busy;
    executor.m_largestBusy = std::max(executor.m_largestBusy, executor.m_busy);
    const auto execution = ++executor.m_total;
    const auto beganAtUs = steadyMicroseconds();
    const auto key = std::string(detail::findHeader(request.m_headers, "Idempotency-Key"));
    if (!key.empty())
        ++executor.m_executionsByKey[key];
    const auto time = executor.m_workMs + executor.m_faults.m_delayMs;
    if (time > 0) {
        asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(time));
        co_await timer.async_wait(asio::use_awaitable);
    }
    --executor.m_busy;
    executor.m_endedExecutions.push_back({ beganAtUs, steadyMicroseconds() });
    boost::json::object body { { "executor", executor.m_name }, { "service", executor.m_service },
        { "method", request.m_method }, { "path", request.m_target }, { "body", request.m_body },
        { "execution", execution } };
    if (!key.empty())
        body["id"] = key;
    auto answer = jsonAnswer(executor.m_faults.m_fails ? 500 : 200, body);
    answer.m_delivery = deliveryOf(executor.m_faults);
    co_return answer;
}

auto handle(Executor& executor, StandinServer& server, detail::HttpRequest request) -> asio::awaitable<StandinAnswer>
{
    const auto path = pathOf(request.m_target);
    if (path == "/standin/executions")
        co_return executionsAnswer(executor);
    if (path == "/standin/ended-executions")
        co_return takeEndedExecutions(executor);
    if (path != "/faults")
        co_return co_await execute(executor, std::move(request));
    if (request.m_method != "POST")
        co_return faultsAnswer(executor);
    const auto object = parseObject(request.m_body);
    if (object && flagOf(*object, "silent", false))
        asio::co_spawn(co_await asio::this_coro::executor, silenceSoon(server), asio::detached);
    co_return setFaults(executor, request.m_body);
}

auto run(int argc, char** argv) -> int
{
    TCLAP::CmdLine line("Stand-in for an executor");
    TCLAP::ValueArg<std::string> listen("", "listen", "address to listen on", false, "127.0.0.1:0", "IP:port", line);
    TCLAP::ValueArg<std::string> name("", "name", "name given in responses", false, "executor", "name", line);
    TCLAP::ValueArg<std::string> service("", "service", "service that it belongs to", false, "service", "name", line);
    TCLAP::ValueArg<std::size_t> slots("", "slots", "maximum concurrent requests", false, 8, "number", line);
    TCLAP::ValueArg<std::int64_t> work("", "work-ms", "run time of a request", false, 0, "ms", line);
    line.parse(argc, argv);
    Executor executor;
    executor.m_name = name.getValue();
    executor.m_service = service.getValue();
    executor.m_slots = slots.getValue();
    executor.m_workMs = work.getValue();
    boost::asio::io_context context(1);
    std::unique_ptr<StandinServer> server;
    server = std::make_unique<StandinServer>(
        context, [&](detail::HttpRequest request) { return handle(executor, *server, std::move(request)); });
    return runUntilStopped(context, *server, listen.getValue());
}

} // namespace

} // namespace hemlockvane::standins

/// @brief Stand-in for a backend server's executor.
auto main(int argc, char** argv) -> int { return hemlockvane::detail::runMain(argc, argv, hemlockvane::standins::run); }
