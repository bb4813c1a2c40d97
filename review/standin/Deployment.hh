#pragma once

#include "Executor.hh"
#include "Http.hh"
#include "Record.hh"
#include "Store.hh"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <random>

namespace review {

struct Submission {
    std::string m_id;
    std::optional<Response> m_answer;
};

/// @brief A small deployment on loopback addresses: the platform, executors of one service, and processes of the
/// system, which are started with the command of the deploy file.
///
/// The platform is at 127.1.0.1, the executors are at 127.2.0.N and the processes of the system at 127.3.0.N; the ports
/// of each kind are the same.
class Deployment {
public:
    explicit Deployment(const std::string& folder)
        : m_record(folder + "/record.txt")
        , m_store(m_record)
        , m_isTrouble(textOf(std::getenv("TROUBLE")) != "0")
        , m_temporary(makeTemporary())
        , m_basePort(findPorts())
        , m_storeServer(platformIp, port(0), [this](const Request& request) { return m_store.handle(request); })
        , m_cloudServer(platformIp, port(1), [this](const Request& request) { return handleCloud(request); })
        , m_adviceServer(platformIp, port(2), [this](const Request& request) { return handleAdvice(request); })
    {
        ::signal(SIGPIPE, SIG_IGN);
        m_storeServer.start();
        m_cloudServer.start();
        m_adviceServer.start();
    }

    ~Deployment()
    {
        m_isOver = true;
        for (std::size_t node = 0; node < m_nodes.size(); ++node)
            kill(node);
        if (m_heartbeats.joinable())
            m_heartbeats.join();
    }

    Deployment(const Deployment&) = delete;
    auto operator=(const Deployment&) -> Deployment& = delete;

    auto isTrouble() const -> bool { return m_isTrouble; }
    auto record() -> Record& { return m_record; }
    auto runs() -> Runs& { return m_runs; }
    auto store() -> Store& { return m_store; }

    auto addExecutors(std::size_t count, Room capacity) -> void
    {
        for (std::size_t i = 0; i < count; ++i) {
            const auto number = m_executors.size() + 1;
            char name[8];
            std::snprintf(name, sizeof name, "%04zu", number);
            ExecutorPlace place;
            place.m_id = std::string("i-7f3a") + name;
            place.m_machine = std::string("m-0a3f") + name;
            place.m_service = "huvo11a";
            place.m_zone = "ro-centru-a";
            place.m_rack = "r1-" + std::to_string((number + 3) / 4);
            place.m_ip = "127.2.0." + std::to_string(number);
            place.m_port = port(3);
            place.m_capacity = capacity;
            m_executors.push_back(std::make_unique<Executor>(place, m_record, m_runs, m_needs));
            m_executors.back()->start();
            publish(*m_executors.back());
        }
        if (!m_heartbeats.joinable())
            m_heartbeats = std::thread([this] { beat(); });
    }

    auto executors() -> std::vector<std::unique_ptr<Executor>>& { return m_executors; }

    auto publish(Executor& executor) -> void
    {
        if (executor.isUp())
            m_store.put("keyed.servers", executor.place().m_id, executor.entry());
    }

    auto removeEntry(const Executor& executor) -> void { m_store.put("keyed.servers", executor.place().m_id, ""); }

    /// @brief The executors for which the policy of the queue's advice allows any step; empty: the queue has none.
    std::vector<std::string> m_allowed;

    auto configure() -> void
    {
        json::object route { { "name", "r-tyiikdr" }, { "host", host }, { "pathPrefix", prefix }, { "type", "unsafe" },
            { "timeoutMs", 3000 }, { "targetLatencyMs", 600 }, { "priority", 0 }, { "service", "huvo11a" },
            { "maxAttempts", 4 }, { "stretch", 1.6 }, { "public", false } };
        if (!m_allowed.empty())
            route["advice"] = json::object { { "decideMs", 5 }, { "eachMs", 0.5 }, { "validMs", 3000 } };
        const json::object service { { "name", "huvo11a" }, { "healthPath", "/health" }, { "maxConns", 64 },
            { "protocol", "h1" }, { "tls", false }, { "admissionCheck", true }, { "spare", false } };
        const json::object tenant { { "name", "cugo130" }, { "apiKeys", json::array { key } }, { "priority", 1 },
            { "weight", 53 },
            { "maxCount", json::object { { "cpu", 100000000 }, { "memMb", 100000000 }, { "gpu", 0 } } } };
        m_store.put("keyed.op", "config",
            json::serialize(json::object { { "version", 7 }, { "routes", json::array { route } },
                { "services", json::array { service } }, { "limits", json::object { { "maxBodyBytes", 262144 } } },
                { "tenants", json::array { tenant } } }));
    }

    auto startNodes(std::size_t count) -> void
    {
        for (std::size_t i = 0; i < count; ++i) {
            Node node;
            node.m_ip = "127.3.0." + std::to_string(i + 1);
            node.m_name = "front-ro-centru-a-" + std::to_string(i + 1);
            m_nodes.push_back(node);
            startNode(i);
        }
    }

    auto startNode(std::size_t index) -> void
    {
        auto& node = m_nodes[index];
        const auto file = m_temporary + "/node-" + std::to_string(index + 1) + ".conf";
        std::ofstream(file) << settingsOf(node);
        const auto log = m_temporary + "/node-" + std::to_string(index + 1) + ".log";
        node.m_process = ::fork();
        if (node.m_process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const auto output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            for (int descriptor = 3; descriptor < 4096; ++descriptor)
                ::close(descriptor);
            const auto variable = "HEMLOCKVANE_NODE_FILE=" + file;
            const char* environment[] = { "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", variable.c_str(), nullptr };
            const char* arguments[] = { "target/hemlockvane", "serve-platform", nullptr };
            ::execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
            ::_exit(127);
        }
        m_record.write(node.m_name, "started");
    }

    /// @brief SIGKILL, as for a process that is killed.
    auto kill(std::size_t index) -> void
    {
        auto& node = m_nodes[index];
        if (node.m_process <= 0)
            return;
        ::kill(node.m_process, SIGKILL);
        ::waitpid(node.m_process, nullptr, 0);
        node.m_process = 0;
        m_record.write(node.m_name, "killed");
    }

    /// @brief Number of the process that last wrote to the store under a condition.
    auto owner() -> std::optional<std::size_t>
    {
        const auto newest = m_store.newestRecord("owner");
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (newest.find(m_nodes[i].m_name) != std::string::npos)
                return i;
        }
        return std::nullopt;
    }

    /// @brief Waits until all processes are ready and some time more, as traffic starts later than the machines.
    /// @result false if they are not ready within 20 s
    auto awaitReady() -> bool
    {
        const auto until = m_record.now() + 20000;
        for (std::size_t i = 0; i < m_nodes.size();) {
            const auto answer = call(m_nodes[i].m_ip, port(5), "GET", "/hemlockvane/readiness", {}, "", 500);
            if (answer && answer->m_status == 200) {
                ++i;
                continue;
            }
            if (m_record.now() > until)
                return false;
            sleepMs(100);
        }
        while (!owner() && m_record.now() < until)
            sleepMs(100);
        sleepMs(4000);
        return owner().has_value();
    }

    auto ask(const std::string& method, const std::string& id, const std::string& body, std::int64_t timeoutMs = 3000)
        -> std::optional<Response>
    {
        // The platform forwards each connection to some process that is ready.
        for (std::size_t attempt = 0; attempt < m_nodes.size(); ++attempt) {
            const auto& node = m_nodes[m_nextNode++ % m_nodes.size()];
            if (node.m_process <= 0)
                continue;
            const auto answer = call(node.m_ip, port(4), method, prefix + id,
                { { "Host", host }, { "Content-Type", "application/json" }, { "Hemlockvane-Key", key },
                    { "Hemlockvane-Deadline-Ms", std::to_string(timeoutMs) } },
                body, timeoutMs);
            m_record.write("client",
                method + " " + id + " " + (body.size() < 300 ? body : std::string("(body)")) + " at " + node.m_name
                    + " -> " + (answer ? std::to_string(answer->m_status) + " " + answer->m_body : "no answer"));
            return answer;
        }
        return std::nullopt;
    }

    /// @brief Submits a job of one step, again as a client does until it gets an answer that is final.
    /// @result its id; empty if it was not accepted
    auto submit(std::size_t count, Room need, const std::string& spec, std::int64_t estimateMs, json::object more = {})
        -> std::string
    {
        const auto id = newId();
        m_needs.set(id + ".0.0", need);
        more["count"] = count;
        more["cpu"] = need.m_cpu;
        more["memMb"] = need.m_memoryMb;
        more["estimateMs"] = estimateMs;
        const auto body = json::serialize(json::object { { "spec", spec }, { "steps", json::array { more } } });
        for (int attempt = 0; attempt < 5; ++attempt) {
            const auto answer = ask("POST", id, body);
            if (answer && answer->m_status == 200)
                return id;
            sleepMs(300);
        }
        return {};
    }

    /// @brief State of a job as a client is shown it; empty without an answer.
    auto stateOf(const std::string& id) -> std::string
    {
        const auto answer = ask("GET", id, "");
        if (!answer)
            return {};
        if (answer->m_status == 410)
            return "410";
        boost::system::error_code error;
        const auto value = json::parse(answer->m_body, error);
        if (answer->m_status != 200 || error || !value.is_object() || !value.as_object().contains("state"))
            return {};
        return std::string(value.as_object().at("state").as_string());
    }

    /// @brief State of a job once it is final, or as it is shown when `timeoutMs` have passed.
    auto awaitEnd(const std::string& id, std::int64_t timeoutMs) -> std::string
    {
        std::string state;
        for (const auto until = m_record.now() + timeoutMs; m_record.now() < until;) {
            sleepMs(400);
            state = stateOf(id);
            if (state == "completed" || state == "failed" || state == "cancelled")
                break;
        }
        return state;
    }

    /// @brief Number of starts of a job's tasks.
    auto startsOf(const std::string& id) -> std::size_t
    {
        std::size_t starts = 0;
        for (const auto& run : m_runs.all())
            starts += run.m_task.starts_with(id) ? 1 : 0;
        return starts;
    }

    static auto sleepMs(std::int64_t time) -> void { std::this_thread::sleep_for(std::chrono::milliseconds(time)); }

    /// @brief Folder with the logs of the processes; it is kept if KEEP is set.
    auto temporary() const -> const std::string& { return m_temporary; }

private:
    struct Node {
        std::string m_name;
        std::string m_ip;
        pid_t m_process = 0;
    };

    static constexpr const char* platformIp = "127.1.0.1";
    static constexpr const char* host = "pule25.example";
    static constexpr const char* prefix = "/puxa400/";
    static constexpr const char* key = "sjnbanfqasnmgkcuyj8p";

    static auto textOf(const char* text) -> std::string { return text == nullptr ? std::string() : text; }

    static auto makeTemporary() -> std::string
    {
        const auto given = textOf(std::getenv("REVIEW_TMP"));
        return given.empty() ? "." : given;
    }

    auto port(int which) const -> std::uint16_t { return static_cast<std::uint16_t>(m_basePort + which); }

    static auto isFree(const std::string& ip, std::uint16_t number) -> bool
    {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context);
        boost::system::error_code error;
        acceptor.open(asio::ip::tcp::v4(), error);
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
        acceptor.bind({ asio::ip::make_address(ip), number }, error);
        return !error;
    }

    // Eight ports in a row that are free on all addresses.
    static auto findPorts() -> int
    {
        std::mt19937 random(std::random_device {}());
        for (int attempt = 0; attempt < 200; ++attempt) {
            const auto base = 20000 + static_cast<int>(random() % 10000);
            auto areFree = true;
            for (int i = 0; i < 8 && areFree; ++i)
                areFree = isFree("0.0.0.0", static_cast<std::uint16_t>(base + i));
            if (areFree)
                return base;
        }
        std::exit(2);
    }

    auto newId() -> std::string
    {
        char text[17];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(m_random()));
        return text;
    }

    auto settingsOf(const Node& node) const -> std::string
    {
        const auto at = [&](const std::string& ip, int which) { return ip + ":" + std::to_string(port(which)); };
        return "node=" + node.m_name + "\nrole=entry\nmachineClass=front\nserves=front\nip=" + node.m_ip
            + "\nzone=ro-centru-a\nregion=ro-centru\nzones.ro-centru-a=ro-centru\nlisten.front=" + at(node.m_ip, 4)
            + "\nlisten.ready=" + at(node.m_ip, 5) + "\ninternalPorts=" + std::to_string(port(6)) + ","
            + std::to_string(port(7))
            + "\nbootstrap=true\ncountsAsLoss=false\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n"
              "limits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=virtual_ip\n"
              "heartbeatMs=1500\n"
              "contracts=base,drain,config,cost,recover,sched,tenants,quota,platform,advice,upkeep,sharing\n"
              "bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.drainMs=2000\nbounds.graceS=6\n"
              "bounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.strictRevoke=true\nbounds.revokeMs=5000\n"
              "bounds.holdMaxMs=10000\nbounds.shutdownMs=200\nbounds.gangMs=3000\nbounds.cancel_ms=3000\n"
              "bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n"
              "bounds.remoteFactor=3\nbounds.checkpointS=2\nbounds.restoreMs=100\nbounds.noticeMs=4500\n"
              "bounds.moveS=1.5\nbounds.upkeepS=2\nbounds.requireFence=true\nbounds.leaseMs=3000\n"
              "bounds.thawMs=300\nbounds.paceMs=100\nbounds.harmMs=4000\norders=invoke\nadvice="
            + at(platformIp, 2) + "\nplatform.address=" + at(platformIp, 0)
            + "\nplatform.form=log\nplatform.writesPerS=800\nplatform.readsPerS=2000\nplatform.parts=12\n"
              "platform.appendMs=2.0\nplatform.partMbS=20.0\nplatform.readMbS=80.0\nplatform.recordBytes=262144\n"
              "platform.requestBytes=2097152\nplatform.keep_s=300\nplatform.partMb=200\nplatform.ttlMinMs=1000\n"
              "cloud.address="
            + at(platformIp, 1) + "\ncloud.ratePerS=64.0\ncloud.duties=\ncloud.dutyPerS=64.0\n";
    }

    auto beat() -> void
    {
        for (std::int64_t round = 1; !m_isOver; ++round) {
            sleepMs(50);
            if (round % 30 != 0)
                continue;
            for (const auto& executor : m_executors)
                publish(*executor);
        }
    }

    auto handleCloud(const Request& request) -> Response
    {
        if (request.m_path != "/hemlockvane/machines")
            return jsonResponse(409, { { "reason", "busy" } });
        json::array machines;
        for (const auto& executor : m_executors) {
            const auto& place = executor->place();
            machines.push_back(json::object { { "machine", place.m_machine }, { "pool", place.m_service },
                { "state", executor->isUp() ? "up" : "down" }, { "zone", place.m_zone },
                { "labels", json::array { "a", place.m_rack } },
                { "capacity",
                    json::object {
                        { "cpu", place.m_capacity.m_cpu }, { "memMb", place.m_capacity.m_memoryMb }, { "gpu", 0 } } },
                { "id", place.m_id } });
        }
        return jsonResponse(200, { { "machines", std::move(machines) }, { "nextToken", nullptr } });
    }

    auto handleAdvice(const Request& request) -> Response
    {
        boost::system::error_code error;
        const auto value = json::parse(request.m_body, error);
        if (error || !value.is_object())
            return jsonResponse(400, {});
        const auto& workers = value.as_object().at("workers").as_array();
        sleepMs(5 + static_cast<std::int64_t>(workers.size()) / 2);
        json::array good;
        for (const auto& worker : workers) {
            const std::string id(worker.as_string());
            if (std::find(m_allowed.begin(), m_allowed.end(), id) != m_allowed.end())
                good.push_back(json::array { id, "c81e-" + id });
        }
        const std::lock_guard lock(m_adviceMutex);
        if (++m_adviceCalls <= 10 || m_adviceCalls % 50 == 0)
            m_record.write("advice",
                "step " + std::string(value.as_object().at("step").as_string()) + ", " + std::to_string(workers.size())
                    + " workers, " + json::serialize(good) + " (call " + std::to_string(m_adviceCalls) + ")");
        return jsonResponse(200, { { "good", std::move(good) }, { "validMs", 3000 } });
    }

    Record m_record;
    Runs m_runs;
    Needs m_needs;
    Store m_store;
    bool m_isTrouble = true;
    std::atomic<bool> m_isOver { false };
    std::string m_temporary;
    int m_basePort = 0;
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::vector<Node> m_nodes;
    std::size_t m_nextNode = 0;
    std::mt19937_64 m_random { std::random_device {}() };
    std::thread m_heartbeats;
    std::mutex m_adviceMutex;
    int m_adviceCalls = 0;
    Server m_storeServer;
    Server m_cloudServer;
    Server m_adviceServer;
};

} // namespace review
