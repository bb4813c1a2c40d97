// A small deployment: the store, the list of machines, executors, and processes of the program as the deploy file runs
// them.
#pragma once

#include "Executor.hh"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <memory>

namespace stage {

class Node {
public:
    Node(std::string name, std::string zone, std::string ip, std::string folder, Record& record)
        : m_name(std::move(name))
        , m_zone(std::move(zone))
        , m_ip(std::move(ip))
        , m_folder(std::move(folder))
        , m_record(record)
        , m_front { m_ip, freePort(m_ip) }
        , m_ready { m_ip, freePort(m_ip) }
        , m_firstPort(freePort(m_ip))
    {
    }
    ~Node() { signal(SIGKILL); }

    auto start(const Address& store, const Address& cloud) -> void
    {
        const auto settings = m_folder + "/" + m_name + ".conf";
        std::ofstream(settings) << settingsOf(store, cloud);
        const auto log = m_folder + "/" + m_name + ".log";
        const auto variable = "HEMLOCKVANE_NODE_FILE=" + settings;
        m_process = fork();
        if (m_process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const auto output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            const char* environment[] = { "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", variable.c_str(), nullptr };
            const char* arguments[] = { "target/hemlockvane", "serve-platform", nullptr };
            execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
            _exit(127);
        }
        m_record.write(m_name, "started");
    }

    auto signal(int number) -> void
    {
        if (m_process <= 0)
            return;
        kill(m_process, number);
        m_record.write(m_name, "signal " + std::to_string(number));
        if (number == SIGKILL) {
            waitpid(m_process, nullptr, 0);
            m_process = 0;
        }
    }

    // Whether the process has ended by itself.
    auto hasEnded() -> bool
    {
        int status = 0;
        if (m_process <= 0 || waitpid(m_process, &status, WNOHANG) <= 0)
            return false;
        m_record.write(m_name, "ended with status " + std::to_string(status));
        m_process = 0;
        return true;
    }

    // Largest resident memory of the process since its start.
    [[nodiscard]] auto peakMb() const -> int
    {
        std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.rfind("VmHWM:", 0) == 0)
                return std::atoi(line.c_str() + 6) / 1024;
        }
        return 0;
    }

    auto isReady() -> bool { return call(m_ready, "GET", "/hemlockvane/readiness", {}, "", 500).m_status == 200; }

    // Whether the process is the one that does the fleet's work, by its log.
    [[nodiscard]] auto isOwner() const -> bool
    {
        std::ifstream log(m_folder + "/" + m_name + ".log");
        auto isOwner = false;
        for (std::string line; std::getline(log, line);) {
            if (line.find("event=owner owner=true") != std::string::npos)
                isOwner = true;
            if (line.find("event=owner owner=false") != std::string::npos)
                isOwner = false;
        }
        return isOwner;
    }

    [[nodiscard]] auto front() const -> const Address& { return m_front; }
    [[nodiscard]] auto name() const -> const std::string& { return m_name; }

private:
    auto settingsOf(const Address& store, const Address& cloud) const -> std::string
    {
        return "node=" + m_name + "\nrole=entry\nmachineClass=front\nserves=front\nip=" + m_ip + "\nzone=" + m_zone
            + "\nregion=tt-north\nlisten.front=" + m_front.text() + "\nlisten.ready=" + m_ready.text()
            + "\ninternalPorts=" + std::to_string(m_firstPort) + "," + std::to_string(m_firstPort + 1)
            + "\nbootstrap=true\ncountsAsLoss=false\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n"
              "limits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=virtual_ip\n"
              "heartbeatMs=1500\ncontracts=base,drain,config,cost,recover,sched,tenants,quota,platform,advice,upkeep,"
              "sharing\ntolerate.machines=2\ntolerate.zones=0\ntolerate.regions=0\nbounds.seedLagS=3\n"
              "bounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\n"
              "bounds.graceS=6\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\n"
              "bounds.maxStretchMs=5000\nbounds.strictRevoke=true\nbounds.revokeMs=5000\nbounds.quotaWindowS=5\n"
              "bounds.quotaOverage=0.1\nbounds.quotaSlack=20\nbounds.recoveryS=12\nbounds.holdMaxMs=10000\n"
              "bounds.shutdownMs=200\nbounds.gangMs=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
              "bounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.remoteFactor=3\n"
              "bounds.checkpointS=2\nbounds.restoreMs=100\nbounds.noticeMs=4500\nbounds.moveS=1.5\nbounds.upkeepS=2\n"
              "bounds.requireFence=true\nbounds.leaseMs=3000\nbounds.thawMs=300\nbounds.paceMs=100\n"
              "bounds.harmMs=4000\norders=invoke\nplatform.address="
            + store.text()
            + "\nplatform.form=log\nplatform.writesPerS=800\nplatform.readsPerS=2000\nplatform.parts=12\n"
              "platform.appendMs=2.0\nplatform.partMbS=20.0\nplatform.readMbS=80.0\nplatform.recordBytes=262144\n"
              "platform.requestBytes=2097152\nplatform.keep_s=300\nplatform.partMb=200\nplatform.ttlMinMs=1000\n"
              "cloud.address="
            + cloud.text() + "\ncloud.ratePerS=64.0\ncloud.duties=\ncloud.dutyPerS=64.0\n";
    }

    std::string m_name;
    std::string m_zone;
    std::string m_ip;
    std::string m_folder;
    Record& m_record;
    Address m_front;
    Address m_ready;
    std::uint16_t m_firstPort;
    pid_t m_process = 0;
};

// Store, list of machines, executors of one service with two racks, and processes.
class Deployment {
public:
    static constexpr const char* service = "huvo11a";

    Deployment(const std::string& folder, Record& record, Executor::FactsOf factsOf)
        : m_folder(folder)
        , m_record(record)
        , m_store({ "127.41.0.1", freePort("127.41.0.1") }, record)
        , m_cloud({ "127.41.0.2", freePort("127.41.0.2") },
              [this](const Request& request) { return answerCloud(request); })
        , m_factsOf(std::move(factsOf))
    {
    }

    ~Deployment()
    {
        m_nodes.clear();
        for (const auto& executor : m_executors)
            executor->end();
    }

    auto start(std::size_t executors, std::size_t nodes, double clockRate = 1) -> bool
    {
        if (!m_store.start() || !m_cloud.start())
            return false;
        for (std::size_t i = 0; i < executors; ++i) {
            const auto number = std::to_string(i + 1);
            const auto ip = "127.42.0." + number;
            ExecutorPlace place { "i-" + number, "m-" + number, service, zoneOf(i), "r1-" + std::to_string(i / 4 + 1),
                { ip, freePort(ip) } };
            place.m_clockRate = clockRate;
            m_executors.push_back(std::make_unique<Executor>(place, m_store, m_record, m_runs, m_factsOf));
            if (!m_executors.back()->start())
                return false;
        }
        for (std::size_t i = 0; i < nodes; ++i) {
            m_nodes.push_back(std::make_unique<Node>("front-" + zoneOf(i) + "-1", zoneOf(i),
                "127.43.0." + std::to_string(i + 1), m_folder, m_record));
            m_nodes.back()->start(m_store.address(), m_cloud.address());
        }
        return true;
    }

    auto awaitReady() -> bool
    {
        for (int tries = 0; tries < 100; ++tries) {
            if (std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto& node) { return node->isReady(); }))
                return true;
            pause(100);
        }
        return false;
    }

    auto putConfiguration(const json::object& configuration) -> void
    {
        m_record.write("operator", "op/config " + json::serialize(configuration));
        m_store.put("keyed.op", "config", json::serialize(configuration));
    }

    // Ends the case at once: threads of the stand-ins may still wait for calls.
    [[noreturn]] auto finish(int code, const std::string& why = {}) -> void
    {
        if (code == 2)
            m_record.write("check", "the case could not run: " + why);
        for (const auto& node : m_nodes)
            node->signal(SIGKILL);
        std::_Exit(code);
    }

    static auto zoneOf(std::size_t index) -> std::string
    {
        return std::string("tt-north-") + static_cast<char>('a' + index % 4);
    }

    std::string m_folder;
    Record& m_record;
    Runs m_runs;
    Store m_store;
    Server m_cloud;
    Executor::FactsOf m_factsOf;
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::vector<std::unique_ptr<Node>> m_nodes;

    std::atomic<std::size_t> m_listed { SIZE_MAX }; // Machines that have joined.
    std::atomic<int> m_upkeeps { 0 }; // Begun.
    std::atomic<int> m_listDelayMs { 0 }; // From the state that a list shows to its answer.
    std::atomic<bool> m_isCloudDown { false }; // All its calls are answered with 503.

private:
    // What runs on the machine ends at once, and its executor is back after `upkeepS`.
    auto upkeep(const std::string& machine) -> std::optional<Response>
    {
        for (const auto& executor : m_executors) {
            if (executor->place().m_machine != machine || !executor->isUp())
                continue;
            ++m_upkeeps;
            executor->goDark();
            std::thread([&executor] {
                pause(2000);
                executor->restart();
            }).detach();
            return Response { 200, "{}" };
        }
        return Response { 409, R"({"reason":"busy"})" };
    }

    auto answerCloud(const Request& request) -> std::optional<Response>
    {
        if (m_isCloudDown)
            return Response { 503, "{}" };
        if (request.m_path == "/hemlockvane/machine-upkeep") {
            m_record.write("cloud", request.m_path + " " + request.m_body + " by "
                    + request.header("hemlockvane-lease-holder") + " token "
                    + request.header("hemlockvane-fencing-token"));
            return upkeep(std::string(json::parse(request.m_body).as_object().at("machine").as_string()));
        }
        if (request.m_path != "/hemlockvane/machines") {
            m_record.write("cloud", request.m_path + " " + request.m_body);
            return Response { 503, "{}" };
        }
        json::array machines;
        for (std::size_t i = 0; i < std::min(m_listed.load(), m_executors.size()); ++i) {
            const auto& executor = m_executors[i];
            const auto& place = executor->place();
            machines.push_back(json::object { { "machine", place.m_machine }, { "pool", place.m_service },
                { "state", executor->isUp() ? "up" : m_upkeeps > 0 ? "upkeep" : "down" }, { "zone", place.m_zone },
                { "labels", json::array { "a", place.m_rack } },
                { "capacity", json::object { { "cpu", place.m_cpu }, { "memMb", place.m_memoryMb }, { "gpu", 0 } } },
                { "id", place.m_id } });
        }
        pause(m_listDelayMs);
        return Response { 200,
            json::serialize(json::object { { "machines", std::move(machines) }, { "nextToken", nullptr } }) };
    }
};

inline auto route(const std::string& name, const std::string& prefix, int priority, int attempts) -> json::object
{
    return { { "name", name }, { "host", "pule25.example" }, { "pathPrefix", prefix }, { "type", "unsafe" },
        { "timeoutMs", 3000 }, { "targetLatencyMs", 600 }, { "priority", priority },
        { "service", Deployment::service }, { "maxAttempts", attempts }, { "stretch", 1.6 }, { "public", false } };
}

inline auto configuration(int version, json::array routes) -> json::object
{
    json::array services;
    services.push_back(json::object { { "name", Deployment::service }, { "healthPath", "/health" },
        { "maxConns", 64 }, { "protocol", "h1" }, { "tls", false }, { "admissionCheck", true }, { "spare", false } });
    const json::object limits { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } };
    const json::object tenant { { "name", "cugo130" }, { "apiKeys", json::array { "sjnbanfqasnmgkcuyj8p" } },
        { "priority", 1 }, { "weight", 73 },
        { "maxCount", json::object { { "cpu", 1523695 }, { "memMb", 5560871 }, { "gpu", 0 } } } };
    return { { "version", version }, { "routes", std::move(routes) }, { "services", std::move(services) },
        { "limits", limits }, { "tenants", json::array { tenant } } };
}

// A client of the deployment; each request is one call on a connection of its own.
class Client {
public:
    explicit Client(Record& record)
        : m_record(record)
    {
    }

    auto ask(const Node& node, const std::string& method, const std::string& target, const std::string& body = "")
        -> Reply
    {
        const auto reply = call(node.front(), method, target,
            { { "Host", "pule25.example" }, { "Hemlockvane-Key", "sjnbanfqasnmgkcuyj8p" },
                { "Hemlockvane-Deadline-Ms", "3000" } },
            body, 3000);
        m_record.write("client", method + " " + target + " " + body + " at " + node.name() + " -> "
                + std::to_string(reply.m_status) + " " + reply.m_body);
        return reply;
    }

    // State of a job by the first node that answers, empty if none does; "410" if no such job is known.
    auto stateOf(const std::vector<std::unique_ptr<Node>>& nodes, const std::string& target) -> std::string
    {
        for (const auto& node : nodes) {
            const auto reply = ask(*node, "GET", target);
            if (reply.m_status == 410 || reply.m_status == 404 || reply.m_status == 401)
                return std::to_string(reply.m_status);
            if (reply.m_status == 200)
                return std::string(json::parse(reply.m_body).as_object().at("state").as_string());
        }
        return {};
    }

private:
    Record& m_record;
};

} // namespace stage
