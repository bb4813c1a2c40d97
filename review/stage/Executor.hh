// Stand-in of an executor: carries out starts, stops and holds as PROTOCOL.md says, "Running tasks".
#pragma once

#include "Store.hh"

#include <algorithm>
#include <limits>

namespace stage {

// What the stand-in of the platform knows of each run.
struct Run {
    std::string m_task;
    std::int64_t m_number = 0;
    std::string m_executor;
    std::int64_t m_startedAt = 0; // Time of the record.
    std::int64_t m_endedAt = -1; // -1: it runs.
    std::string m_how;
    bool m_isNoted = false; // `lastSeen` has reached its end.
    bool m_hasLapsed = false; // The executor's lease lapsed before that.
};

// All runs of a case.
struct Runs {
    std::mutex m_mutex;
    std::deque<Run> m_all;
};

struct TaskFacts {
    std::int64_t m_cpu = 0;
    std::int64_t m_memoryMb = 0;
    std::int64_t m_workMs = 0;
    bool m_isLasting = false;
};

struct ExecutorPlace {
    std::string m_id;
    std::string m_machine;
    std::string m_service;
    std::string m_zone;
    std::string m_rack;
    Address m_address;
    std::int64_t m_cpu = 32000;
    std::int64_t m_memoryMb = 131072;
    double m_clockRate = 1; // Of its steady clock; a slow one goes at 0.98.
};

class Executor {
public:
    using FactsOf = std::function<TaskFacts(const std::string& task)>;

    Executor(ExecutorPlace place, Store& store, Record& record, Runs& runs, FactsOf factsOf)
        : m_place(std::move(place))
        , m_store(store)
        , m_record(record)
        , m_runs(runs)
        , m_factsOf(std::move(factsOf))
    {
    }

    [[nodiscard]] auto place() const -> const ExecutorPlace& { return m_place; }

    auto start() -> bool
    {
        const std::lock_guard lock(m_mutex);
        ++m_life;
        m_born = unixMs();
        m_bornAt = nowMs();
        m_fence = 0;
        m_leaseUntil = 0;
        m_nextEnd = 1;
        m_ended.clear();
        m_highestEnded.clear();
        m_active.clear();
        m_isUp = true;
        m_server = std::make_shared<Server>(m_place.m_address, [this](const Request& request) { return handle(request); });
        if (!m_server->start())
            return false;
        m_servers.push_back(m_server); // Connections of earlier lives end by themselves.
        m_record.write(m_place.m_id, "up, born " + std::to_string(m_born));
        std::thread([this, life = m_life.load()] { live(life); }).detach();
        return true;
    }

    // Loses power: what runs ends, nothing is answered, and connections stay open without a word.
    auto goDark() -> void
    {
        const std::lock_guard lock(m_mutex);
        ++m_life;
        m_isUp = false;
        m_record.write(m_place.m_id, "dark, with " + std::to_string(m_active.size()) + " runs");
        endAll("crashed");
    }

    // The machine has power again: connections of before are reset.
    auto restart() -> bool
    {
        if (m_server)
            m_server->stop();
        pause(30);
        return start();
    }

    // Ends it for good, at the end of a case.
    auto end() -> void
    {
        ++m_life;
        m_isUp = false;
        m_changed.notify_all();
        if (m_server)
            m_server->stop();
    }

    [[nodiscard]] auto isUp() const -> bool { return m_isUp; }

    // Time of its steady clock.
    [[nodiscard]] auto clockMs() const -> std::int64_t
    {
        return static_cast<std::int64_t>(static_cast<double>(nowMs() - m_bornAt) * m_place.m_clockRate) + 1;
    }

    // Cuts it off from all processes, or ends the cut: it runs on, and reaches the store. Calls get no answer.
    auto cut(bool isCut) -> void
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isCut = isCut;
            m_record.write(m_place.m_id, isCut ? "cut off" : "reachable again");
        }
        if (!isCut)
            m_server->closeConnections(); // What was held up is lost.
    }

    // Whether a run of the task is at work here for at least so long.
    auto hasRunFor(const std::string& task, std::int64_t ms) -> bool
    {
        const std::lock_guard lock(m_mutex);
        return std::any_of(m_active.begin(), m_active.end(), [&](const auto& item) {
            return item.first.first == task && clockMs() - item.second.m_startedClock >= ms;
        });
    }

private:
    using RunKey = std::pair<std::string, std::int64_t>;

    struct Active {
        Run* m_run = nullptr;
        TaskFacts m_facts;
        std::int64_t m_startedClock = 0;
        std::int64_t m_endsAt = 0;
        std::string m_how = "done";
    };

    struct Ended {
        std::int64_t m_number = 0;
        RunKey m_key;
        std::string m_how;
        Run* m_run = nullptr;
    };

    auto answer(int status, json::object more = {}) -> Response
    {
        more["clockMs"] = clockMs();
        more["born"] = m_born;
        return { status, json::serialize(more) };
    }

    static auto numberOf(const json::object& body, const char* name) -> std::int64_t
    {
        const auto* value = body.if_contains(name);
        return value == nullptr ? 0 : value->to_number<std::int64_t>();
    }

    // Beats, and ends what is due.
    auto live(std::uint64_t life) -> void
    {
        std::int64_t nextBeat = 0;
        while (m_life == life) {
            {
                const std::lock_guard lock(m_mutex);
                if (m_life != life)
                    return;
                endDue();
            }
            if (nowMs() >= nextBeat) {
                nextBeat = nowMs() + 1500;
                m_store.put("keyed.servers", m_place.m_id, entry());
            }
            pause(5);
        }
    }

    auto entry() -> std::string
    {
        return json::serialize(json::object { { "service", m_place.m_service }, { "address", m_place.m_address.text() },
            { "zone", m_place.m_zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" },
            { "coldRemainingMs", 0 },
            { "capacity", json::object { { "cpu", m_place.m_cpu }, { "memMb", m_place.m_memoryMb }, { "gpu", 0 } } },
            { "labels", json::array { "a", m_place.m_rack } }, { "clockMs", clockMs() }, { "seq", ++m_sequence },
            { "born", m_born } });
    }

    auto endDue() -> void
    {
        const auto now = clockMs();
        if (now > m_leaseUntil) {
            for (const auto& ended : m_ended)
                markLapsed(*ended.m_run);
        }
        for (auto item = m_active.begin(); item != m_active.end();) {
            const auto hasLapsed = now > m_leaseUntil;
            if (!hasLapsed && item->second.m_endsAt > now) {
                ++item;
                continue;
            }
            const auto how = hasLapsed ? std::string("lapsed") : item->second.m_how;
            m_highestEnded[item->first.first] = std::max(m_highestEnded[item->first.first], item->first.second);
            m_ended.push_back({ m_nextEnd++, item->first, how, item->second.m_run });
            finish(*item->second.m_run, how);
            item = m_active.erase(item);
            m_changed.notify_all();
        }
    }

    auto markLapsed(Run& run) -> void
    {
        const std::lock_guard lock(m_runs.m_mutex);
        run.m_hasLapsed = true;
    }

    auto finish(Run& run, const std::string& how) -> void
    {
        {
            const std::lock_guard lock(m_runs.m_mutex);
            run.m_endedAt = m_record.now();
            run.m_how = how;
        }
        m_record.write(m_place.m_id, "end " + run.m_task + " run " + std::to_string(run.m_number) + " " + how);
    }

    auto endAll(const std::string& how) -> void
    {
        for (auto& [key, active] : m_active)
            finish(*active.m_run, how);
        m_active.clear();
        m_changed.notify_all();
    }

    auto handle(const Request& request) -> std::optional<Response>
    {
        std::unique_lock lock(m_mutex);
        if (!m_isUp || m_isCut)
            return std::nullopt;
        const auto life = m_life.load();
        const auto expected = request.header("hemlockvane-expect-instance");
        if (!expected.empty() && expected != m_place.m_id)
            return answer(421);
        const auto body = json::parse(request.m_body).as_object();
        const auto fence = numberOf(body, "fence");
        endDue();
        if (fence < m_fence)
            return answer(409, { { "reason", "fence" } });
        m_fence = fence;
        if (request.m_path == "/hemlockvane/run-start")
            return startRun(body);
        if (request.m_path == "/hemlockvane/run-stop")
            return stopRun(body);
        if (request.m_path != "/hemlockvane/hold")
            return answer(200);
        extendLease(body);
        const auto lastSeen = numberOf(body, "lastSeen");
        while (!m_ended.empty() && m_ended.front().m_number <= lastSeen) {
            const std::lock_guard runsLock(m_runs.m_mutex);
            m_ended.front().m_run->m_isNoted = true;
            m_ended.pop_front();
        }
        m_changed.wait_for(lock, std::chrono::milliseconds(numberOf(body, "waitMs")),
            [&] { return m_life != life || !m_ended.empty(); });
        if (m_life != life || m_isCut)
            return std::nullopt;
        json::array running;
        for (const auto& [key, active] : m_active)
            running.push_back(json::array { key.first, key.second, "", active.m_facts.m_isLasting ? 100 : 50,
                active.m_facts.m_cpu });
        json::array finished;
        for (const auto& ended : m_ended)
            finished.push_back(json::array { ended.m_number, ended.m_key.first, ended.m_key.second, ended.m_how, "" });
        return answer(200, { { "running", std::move(running) }, { "finished", std::move(finished) } });
    }

    auto extendLease(const json::object& body) -> void
    {
        m_leaseUntil = std::max(m_leaseUntil, std::min(numberOf(body, "deadlineMs"), clockMs() + 10000));
    }

    auto startRun(const json::object& body) -> Response
    {
        const RunKey key { std::string(body.at("task").as_string()), numberOf(body, "run") };
        if (m_active.count(key) > 0) {
            extendLease(body);
            return answer(200);
        }
        if (numberOf(body, "deadlineMs") <= clockMs())
            return answer(409, { { "reason", "late" } });
        extendLease(body);
        const auto ended = m_highestEnded.find(key.first);
        if (ended != m_highestEnded.end() && key.second <= ended->second)
            return answer(409, { { "reason", "old" } });
        Active active;
        active.m_facts = m_factsOf(key.first);
        std::int64_t cpu = active.m_facts.m_cpu;
        std::int64_t memory = active.m_facts.m_memoryMb;
        for (const auto& [other, item] : m_active) {
            cpu += item.m_facts.m_cpu;
            memory += item.m_facts.m_memoryMb;
        }
        if (cpu > m_place.m_cpu || memory > m_place.m_memoryMb)
            return answer(409, { { "reason", "room" } });
        active.m_startedClock = clockMs();
        active.m_endsAt = active.m_facts.m_isLasting ? std::numeric_limits<std::int64_t>::max()
                                                     : clockMs() + active.m_facts.m_workMs;
        {
            const std::lock_guard lock(m_runs.m_mutex);
            m_runs.m_all.push_back({ key.first, key.second, m_place.m_id, m_record.now(), -1, {}, false, false });
            active.m_run = &m_runs.m_all.back();
        }
        m_record.write(m_place.m_id, "start " + key.first + " run " + std::to_string(key.second) + " fence "
                + std::to_string(m_fence) + " deadlineMs " + std::to_string(numberOf(body, "deadlineMs")) + " clockMs "
                + std::to_string(clockMs()));
        m_active.emplace(key, active);
        return answer(200);
    }

    auto stopRun(const json::object& body) -> Response
    {
        const RunKey key { std::string(body.at("task").as_string()), numberOf(body, "run") };
        m_record.write(m_place.m_id, "stop " + key.first + " run " + std::to_string(key.second));
        const auto active = m_active.find(key);
        if (active == m_active.end()) {
            m_highestEnded[key.first] = std::max(m_highestEnded[key.first], key.second);
        } else {
            active->second.m_how = "stopped";
            active->second.m_endsAt = clockMs() + 50;
        }
        return answer(200);
    }

    ExecutorPlace m_place;
    Store& m_store;
    Record& m_record;
    Runs& m_runs;
    FactsOf m_factsOf;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::shared_ptr<Server> m_server;
    std::vector<std::shared_ptr<Server>> m_servers;
    std::atomic<std::uint64_t> m_life { 0 };
    std::atomic<bool> m_isUp { false };
    bool m_isCut = false;
    std::int64_t m_born = 0;
    std::int64_t m_bornAt = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::int64_t m_nextEnd = 1;
    std::int64_t m_sequence = 0;
    std::deque<Ended> m_ended;
    std::map<std::string, std::int64_t> m_highestEnded;
    std::map<RunKey, Active> m_active;
};

} // namespace stage
