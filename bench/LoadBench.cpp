#include "hemlockvane/detail/http/HttpConnection.h"
#include "hemlockvane/detail/program/RunMain.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

// Sends requests over a fixed number of connections for a fixed time and prints rate and latency.

namespace hemlockvane::bench {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds callTimeout { 10000 };
constexpr std::size_t maximumBodyBytes = 1048576;
constexpr double microsPerMilli = 1000.0;

struct Load {
    std::vector<std::string> m_targets;
    detail::HttpRequest m_request;
    Clock::time_point m_end;
    std::vector<std::int64_t> m_latenciesUs; // Of complete answers with status 200.
    std::map<std::string, std::size_t> m_outcomes; // Number of answers by status, and of failures by kind.
};

auto runConnection(Load& load, std::string target, asio::io_context& context) -> asio::awaitable<void>
{
    detail::HttpConnection connection(context.get_executor());
    while (Clock::now() < load.m_end) {
        FailureReason reason;
        if (!connection.isOpen() && !co_await connection.connect(target, callTimeout, reason)) {
            ++load.m_outcomes["no connection"];
            co_return;
        }
        const auto startedAt = Clock::now();
        const auto response = co_await connection.exchange(load.m_request, callTimeout, maximumBodyBytes, reason);
        const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - startedAt);
        ++load.m_outcomes[response ? std::to_string(response->m_status) : std::string("no answer")];
        if (response && response->m_status == 200)
            load.m_latenciesUs.push_back(latency.count());
    }
}

auto quantile(const std::vector<std::int64_t>& sorted, double fraction) -> double
{
    if (sorted.empty())
        return 0;
    return static_cast<double>(sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))])
        / microsPerMilli;
}

auto print(Load& load, double seconds) -> void
{
    std::sort(load.m_latenciesUs.begin(), load.m_latenciesUs.end());
    std::printf("%.0f answers/s, p50 %.3f ms, p99 %.3f ms", static_cast<double>(load.m_latenciesUs.size()) / seconds,
        quantile(load.m_latenciesUs, 0.5), quantile(load.m_latenciesUs, 0.99));
    for (const auto& [outcome, count] : load.m_outcomes)
        std::printf(", %s: %zu", outcome.c_str(), count);
    std::printf("\n");
}

auto run(int argc, char** argv) -> int
{
    TCLAP::CmdLine commandLine("Load over HTTP connections to loopback addresses");
    const TCLAP::MultiArg<std::string> targets(
        "", "target", "address; connections go to them in turn", true, "IP:port", commandLine);
    const TCLAP::ValueArg<std::string> path("", "path", "target of the requests", false, "/", "PATH", commandLine);
    const TCLAP::ValueArg<std::string> key("", "key", "bearer key", false, "", "KEY", commandLine);
    const TCLAP::ValueArg<int> connections("", "connections", "connections", false, 1, "N", commandLine);
    const TCLAP::ValueArg<int> seconds("", "seconds", "duration", false, 3, "SECONDS", commandLine);
    commandLine.parse(argc, argv);
    Load load;
    load.m_targets = targets.getValue();
    load.m_request.m_target = path.getValue();
    if (!key.getValue().empty())
        load.m_request.m_headers.push_back({ "Authorization", "Bearer " + key.getValue() });
    asio::io_context context(1);
    load.m_end = Clock::now() + std::chrono::seconds(seconds.getValue());
    for (int i = 0; i < connections.getValue(); ++i) {
        const auto& target = load.m_targets[static_cast<std::size_t>(i) % load.m_targets.size()];
        asio::co_spawn(context, runConnection(load, target, context), asio::detached);
    }
    context.run();
    print(load, seconds.getValue());
    return 0;
}

} // namespace

} // namespace hemlockvane::bench

auto main(int argc, char** argv) -> int { return hemlockvane::detail::runMain(argc, argv, hemlockvane::bench::run); }
