#include "FleetPlay.h"

#include "CheckEvacuations.h"
#include "CheckRuns.h"

#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/http/HttpConnection.h"
#include "hemlockvane/errors/FailureReason.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <cstdio>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace hemlockvane::fleetrun {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char* platformIp = "127.1.0.1";
constexpr int storePort = 0;
constexpr int machinesPort = 1;
constexpr int executorPort = 3;
constexpr std::int64_t readyWithinMs = 20000;
constexpr Duration trafficDelay { 4000 }; // Traffic starts later than the instances do.
constexpr std::int64_t finishMs = 14000; // After the end of the traffic all jobs that can be done must be completed.
constexpr std::size_t maxAttempts = 3;
constexpr std::int64_t standstillMs = 3000; // A job that could run and has no run for this long is lost.

auto siteOf(const FleetOptions& options) -> FleetSite
{
    auto site = options.m_site == "maraval" ? maravalSite() : roataSite();
    for (auto& pool : site.m_pools)
        pool.m_workMs = static_cast<std::int64_t>(static_cast<double>(pool.m_workMs) * options.m_work);
    return site;
}

auto configurationOf(const FleetSite& site) -> std::string
{
    json::array routes;
    json::array services;
    for (const auto& pool : site.m_pools) {
        services.push_back(json::object { { "name", pool.m_service }, { "healthPath", "/health" }, { "maxConns", 64 },
            { "protocol", "h1" }, { "tls", false }, { "admissionCheck", true }, { "spare", pool.m_isSpare } });
        if (pool.m_jobsPerSecond <= 0)
            continue;
        routes.push_back(json::object { { "name", "r-" + pool.m_service }, { "host", FleetClients::host },
            { "pathPrefix", pool.m_queue }, { "type", "unsafe" }, { "timeoutMs", 3000 }, { "targetLatencyMs", 600 },
            { "priority", 0 }, { "service", pool.m_service }, { "maxAttempts", 3 }, { "stretch", 1.6 },
            { "public", false } });
    }
    const json::object tenant { { "name", "cugo130" }, { "apiKeys", json::array { FleetClients::key } },
        { "priority", 1 }, { "weight", 53 },
        { "maxCount", json::object { { "cpu", 0 }, { "memMb", 0 }, { "gpu", 0 } } } };
    return json::serialize(
        json::object { { "version", 5 }, { "routes", std::move(routes) }, { "services", std::move(services) },
            { "limits", json::object { { "maxBodyBytes", 262144 } } }, { "tenants", json::array { tenant } } });
}

} // namespace

FleetPlay::FleetPlay(FleetOptions options)
    : m_options(std::move(options))
    , m_site(siteOf(m_options))
    , m_storeServer(platformIp, port(storePort),
          [this](const review::Request& request) { return m_storeFaults.handle(m_store, request); })
    , m_planned(m_context, m_record, m_instances, m_machines, m_store, configurationOf(m_site), m_options.m_seed + 3)
{
    m_instances.m_storeAddress = std::string(platformIp) + ":" + std::to_string(port(storePort));
    m_instances.m_memoryMb = m_options.m_memoryMb;
    m_instances.m_machinesAddress = std::string(platformIp) + ":" + std::to_string(port(machinesPort));
    m_machines.m_isStoreAway = [this] { return m_storeFaults.isAway(); };
    m_machines.m_starterOf = [this](std::int64_t fence) { return starterOf(fence); };
}

auto FleetPlay::run() -> int
{
    ::signal(SIGPIPE, SIG_IGN);
    m_storeServer.start();
    FailureReason reason;
    if (!m_machineServer.listen(m_instances.m_machinesAddress, reason)
        || !m_machines.addPools(m_site, port(executorPort)))
        return 2;
    m_store.put("keyed.op", "config", configurationOf(m_site));
    m_instances.add(m_site);
    for (std::size_t i = 0; i < m_instances.instances().size(); ++i)
        m_instances.start(i);
    asio::co_spawn(m_context, m_machines.heartbeats(), asio::detached);
    asio::co_spawn(m_context, play(), asio::detached);
    m_context.run();
    return m_exitCode;
}

auto FleetPlay::port(int which) const -> std::uint16_t
{
    return static_cast<std::uint16_t>(m_options.m_basePort + which);
}

auto FleetPlay::starterOf(std::int64_t fence) -> std::string
{
    auto& starter = m_record.m_starterByFence[fence];
    if (!starter.empty())
        return starter;
    const auto newest = m_store.newestRecord("owner");
    for (const auto& instance : m_instances.instances()) {
        if (newest.find(instance.m_name) != std::string::npos)
            starter = instance.m_name;
    }
    return starter;
}

auto FleetPlay::awaitReady() -> asio::awaitable<bool>
{
    for (std::size_t i = 0; i < m_instances.instances().size();) {
        detail::HttpRequest request;
        request.m_target = "/hemlockvane/readiness";
        FailureReason reason;
        const auto response
            = co_await detail::httpCall(m_instances.readinessAddress(i), request, Duration { 500 }, reason);
        if (response && response->m_status == 200)
            ++i;
        else if (m_record.now() > readyWithinMs)
            co_return false;
        else
            co_await detail::sleepFor(Duration { 100 });
    }
    co_return true;
}

auto FleetPlay::play() -> asio::awaitable<void>
{
    const auto isReady = co_await awaitReady();
    if (!isReady) {
        std::printf("the instances are not ready\n");
        m_exitCode = 2;
        m_context.stop();
        co_return;
    }
    co_await detail::sleepFor(trafficDelay);
    const auto until = m_record.now() + std::int64_t { m_options.m_seconds } * 1000;
    asio::co_spawn(m_context, m_troubles.play(m_options.m_troubles, until), asio::detached);
    m_planned.play(m_options.m_troubles, until);
    if (m_options.m_watchesRequests)
        m_clients.watchRequests(until);
    co_await m_clients.play(until);
    co_await m_troubles.end();
    co_await m_clients.awaitEnds(m_record.now() + finishMs);
    m_clients.checkLasting();
    judge();
    m_context.stop();
}

auto FleetPlay::findLost() const -> std::vector<std::string>
{
    auto violations = m_clients.m_violations;
    std::map<std::string, std::size_t> failedRuns;
    std::set<std::string> working; // Jobs that had a run a moment ago.
    for (const auto& run : m_record.m_runs) {
        if (run.m_endedAt == never || run.m_endedAt > m_record.now() - standstillMs)
            working.insert(run.m_task.substr(0, run.m_task.find('.')));
        if (run.m_how == "failed")
            ++failedRuns[run.m_task.substr(0, run.m_task.find('.'))];
    }
    for (const auto& job : m_clients.m_jobs) {
        if (job.m_acceptedAt == never || job.m_isLasting || job.m_cancelSentAt != never || job.m_state == "unknown")
            continue;
        const auto mayFail = job.m_isHopeless || failedRuns[job.m_id] >= maxAttempts;
        const auto isAtWork = job.m_isLong && job.m_state == "running" && working.contains(job.m_id);
        if (job.m_state != "completed" && !isAtWork && !(mayFail && job.m_state == "failed"))
            violations.push_back("LOST: job " + job.m_id + ", accepted at " + std::to_string(job.m_acceptedAt)
                + ", is shown as \"" + job.m_state + "\"");
    }
    return violations;
}

auto FleetPlay::judge() -> void
{
    const std::vector<StartedRun> runs(m_record.m_runs.begin(), m_record.m_runs.end());
    std::map<std::string, std::int64_t, std::less<>> completedAt;
    std::size_t accepted = 0;
    for (const auto& job : m_clients.m_jobs) {
        accepted += job.m_acceptedAt == never ? 0 : 1;
        if (job.m_state == "completed")
            completedAt[job.m_id] = job.m_shownAt;
    }
    auto violations = findLost();
    for (const auto& line : findTwice(runs, completedAt, m_record.now()))
        violations.push_back("TWICE: " + line);
    for (const auto& line : findInEvacuatedZones(runs, m_record.m_evacuations))
        violations.push_back("EVAC: " + line);
    for (const auto& line : m_instances.findOverLimits())
        violations.push_back("LIMITS: " + line);
    for (const auto& violation : violations) {
        m_record.write("check", violation);
        std::printf("%s\n", violation.c_str());
    }
    std::printf("seed %llu: %zu runs, %zu jobs sent, %zu accepted, %zu completed, %zu violations\n",
        static_cast<unsigned long long>(m_options.m_seed), runs.size(), m_clients.m_jobs.size(), accepted,
        completedAt.size(), violations.size());
    m_exitCode = violations.empty() ? 0 : 1;
}

} // namespace hemlockvane::fleetrun
