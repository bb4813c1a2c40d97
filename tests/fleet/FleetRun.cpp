// Plays a deployment with real processes of the product and checks TWICE and LOST as the users' pages word them.
// Exit codes: 0 the rules held, 1 a rule was broken, 2 the play could not be run.
#include "CheckRuns.h"
#include "FleetClients.h"
#include "FleetInstances.h"
#include "FleetMachines.h"
#include "FleetRecord.h"
#include "FleetTroubles.h"

#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/http/HttpConnection.h"
#include "hemlockvane/detail/program/RunMain.h"
#include "review/standin/Store.hh"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <tclap/CmdLine.h>

#include <csignal>

namespace hemlockvane::fleetrun {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr const char* platformIp = "127.1.0.1";
constexpr int storePort = 0;
constexpr int machinesPort = 1;
constexpr int executorPort = 3;
constexpr std::int64_t readyWithinMs = 20000;
constexpr Duration trafficDelay { 4000 }; // Traffic starts later than the instances do.
constexpr std::int64_t finishMs = 14000; // After the end of the traffic all jobs that can be done must be completed.

struct FleetOptions {
    std::string m_program;
    std::string m_folder;
    std::uint64_t m_seed = 1;
    int m_seconds = 0;
    std::uint16_t m_basePort = 0;
    std::string m_troubles;
    double m_work = 1;
    FleetLoad m_load;
};

auto siteOf(const FleetOptions& options) -> FleetSite
{
    auto site = roataSite();
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
        { "priority", 1 }, { "weight", 53 }, { "maxCount", json::object { { "cpu", 0 }, { "memMb", 0 }, { "gpu", 0 } } } };
    return json::serialize(json::object { { "version", 5 }, { "routes", std::move(routes) },
        { "services", std::move(services) }, { "limits", json::object { { "maxBodyBytes", 262144 } } },
        { "tenants", json::array { tenant } } });
}

/// One play, from the start of the processes to the verdict.
class FleetPlay {
public:
    explicit FleetPlay(FleetOptions options)
        : m_options(std::move(options))
        , m_storeServer(platformIp, port(storePort),
              [this](const review::Request& request) { return m_storeFaults.handle(m_store, request); })
    {
        m_instances.m_storeAddress = std::string(platformIp) + ":" + std::to_string(port(storePort));
        m_instances.m_machinesAddress = std::string(platformIp) + ":" + std::to_string(port(machinesPort));
        m_machines.m_starterOf = [this](std::int64_t fence) { return starterOf(fence); };
    }

    auto run() -> int
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

private:
    auto port(int which) const -> std::uint16_t { return static_cast<std::uint16_t>(m_options.m_basePort + which); }

    auto starterOf(std::int64_t fence) -> std::string
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

    auto awaitReady() -> asio::awaitable<bool>
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

    auto play() -> asio::awaitable<void>
    {
        const auto isReady = co_await awaitReady();
        if (!isReady) {
            std::printf("the instances are not ready\n");
            m_exitCode = 2;
            m_context.stop();
            co_return;
        }
        co_await detail::sleepFor(trafficDelay);
        const auto until = m_record.now() + m_options.m_seconds * 1000;
        asio::co_spawn(m_context, m_troubles.play(m_options.m_troubles, until), asio::detached);
        co_await m_clients.play(until);
        co_await m_troubles.end();
        co_await m_clients.awaitEnds(m_record.now() + finishMs);
        judge();
        m_context.stop();
    }

    auto judge() -> void
    {
        const std::vector<StartedRun> runs(m_record.m_runs.begin(), m_record.m_runs.end());
        auto violations = m_clients.m_violations;
        for (const auto& line : findTwice(runs, m_record.now()))
            violations.push_back("TWICE: " + line);
        std::map<std::string, std::string> failedEnds;
        for (const auto& run : runs) {
            if (run.m_how == "failed")
                failedEnds[run.m_task.substr(0, run.m_task.find('.'))] += "f";
        }
        std::size_t accepted = 0;
        std::size_t completed = 0;
        for (const auto& job : m_clients.m_jobs) {
            accepted += job.m_acceptedAt == never ? 0 : 1;
            completed += job.m_state == "completed" ? 1 : 0;
            if (job.m_acceptedAt == never || job.m_isLasting || job.m_cancelSentAt != never)
                continue;
            const auto mayFail = job.m_isHopeless || failedEnds[job.m_id].size() >= 3;
            if (job.m_state != "completed" && !(mayFail && job.m_state == "failed") && job.m_state != "unknown")
                violations.push_back("LOST: job " + job.m_id + ", accepted at " + std::to_string(job.m_acceptedAt)
                    + ", is shown as \"" + job.m_state + "\"");
        }
        for (const auto& violation : violations) {
            m_record.write("check", violation);
            std::printf("%s\n", violation.c_str());
        }
        std::printf("seed %llu: %zu runs, %zu jobs sent, %zu accepted, %zu completed, %zu violations\n",
            static_cast<unsigned long long>(m_options.m_seed), runs.size(), m_clients.m_jobs.size(), accepted, completed,
            violations.size());
        m_exitCode = violations.empty() ? 0 : 1;
    }

    FleetOptions m_options;
    FleetSite m_site = siteOf(m_options);
    int m_exitCode = 2;
    asio::io_context m_context;
    FactsByStep m_facts;
    FleetRecord m_record { m_options.m_folder + "/record.txt" };
    review::Record m_storeRecord { m_options.m_folder + "/store.txt" };
    review::Store m_store { m_storeRecord };
    StoreFaults m_storeFaults;
    review::Server m_storeServer;
    FleetInstances m_instances { m_record, m_options.m_program, m_options.m_folder, m_options.m_basePort };
    FleetMachines m_machines { m_context, m_record, m_facts,
        [this](const std::string& id, const std::string& entry) { m_store.put("keyed.servers", id, entry); },
        m_options.m_seed };
    standins::StandinServer m_machineServer { m_context,
        [this](detail::HttpRequest request) { return m_machines.handle(std::move(request)); } };
    FleetClients m_clients { m_context, m_record, m_instances, m_facts, m_site, m_options.m_load, m_options.m_seed + 1 };
    FleetTroubles m_troubles { m_context, m_record, m_instances, m_machines, m_clients, m_storeFaults,
        m_options.m_seed + 2 };
};

auto parse(int count, char** arguments) -> FleetOptions
{
    TCLAP::CmdLine command("Plays a deployment with real processes, and checks TWICE and LOST");
    const TCLAP::ValueArg<std::string> program("", "program", "path of hemlockvane", true, "", "path", command);
    const TCLAP::ValueArg<std::string> folder("", "folder", "for records and logs", true, "", "path", command);
    const TCLAP::ValueArg<std::uint64_t> seed("", "seed", "", false, 1, "number", command);
    const TCLAP::ValueArg<int> seconds("", "seconds", "of traffic", false, 30, "s", command);
    const TCLAP::ValueArg<int> basePort("", "port", "first of eight free ports", false, 21000, "number", command);
    const TCLAP::ValueArg<std::string> troubles(
        "", "troubles", "names, joined by commas; see FleetTroubles", false, "", "names", command);
    const TCLAP::ValueArg<double> load("", "load", "share of the site's rates", false, 0.5, "share", command);
    const TCLAP::ValueArg<double> work("", "work", "factor of the time that a task takes", false, 1, "factor", command);
    const TCLAP::ValueArg<double> hopeless("", "hopeless", "share of jobs that always fail", false, 0.05, "share", command);
    const TCLAP::ValueArg<double> cancelled("", "cancelled", "share of jobs that are cancelled", false, 0, "share", command);
    const TCLAP::SwitchArg lasting("", "lasting", "also tasks that last", command);
    command.parse(count, arguments);
    FleetOptions options;
    options.m_program = program.getValue();
    options.m_folder = folder.getValue();
    options.m_seed = seed.getValue();
    options.m_seconds = seconds.getValue();
    options.m_basePort = static_cast<std::uint16_t>(basePort.getValue());
    options.m_troubles = troubles.getValue();
    options.m_work = work.getValue();
    options.m_load.m_scale = load.getValue();
    options.m_load.m_hopeless = hopeless.getValue();
    options.m_load.m_cancelled = cancelled.getValue();
    options.m_load.m_hasLasting = lasting.getValue();
    return options;
}

} // namespace

} // namespace hemlockvane::fleetrun

auto main(int argc, char** argv) -> int
{
    return hemlockvane::detail::runMain(argc, argv, [](int count, char** arguments) {
        hemlockvane::fleetrun::FleetPlay play(hemlockvane::fleetrun::parse(count, arguments));
        return play.run();
    });
}
