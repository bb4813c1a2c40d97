#pragma once

#include "Http.hh"
#include "Record.hh"

#include <condition_variable>
#include <deque>
#include <limits>

namespace review {

struct Room {
    std::int64_t m_cpu = 0;
    std::int64_t m_memoryMb = 0;
};

/// @brief One run of a task, from its start to its end.
struct RunEvent {
    std::string m_task;
    std::int64_t m_run = 0;
    std::string m_executor;
    std::int64_t m_startedAt = 0;
    std::int64_t m_endedAt = -1; ///< -1: it is still running.
    std::string m_how; ///< How it ended; `crashed` with its executor.
    std::int64_t m_notedAt = -1; ///< When `lastSeen` reached the end.
    bool m_hasLapsed = false; ///< The executor's lease lapsed between its end and that.
};

/// @brief All runs on all executors, in the order of their starts.
class Runs {
public:
    auto add(RunEvent event) -> std::size_t
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
        return m_events.size() - 1;
    }

    auto end(std::size_t index, const std::string& how, std::int64_t at) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_events[index].m_how = how;
        m_events[index].m_endedAt = at;
    }

    auto note(std::size_t index, std::int64_t at) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_events[index].m_notedAt = at;
    }

    auto lapse(std::size_t index) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_events[index].m_hasLapsed = true;
    }

    auto all() -> std::vector<RunEvent>
    {
        const std::lock_guard lock(m_mutex);
        return m_events;
    }

private:
    std::mutex m_mutex;
    std::vector<RunEvent> m_events;
};

/// @brief What an executor knows of the tasks that clients send: how much one takes.
class Needs {
public:
    auto set(const std::string& step, Room need) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_needs[step] = need;
    }

    auto of(const std::string& task) -> Room
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_needs.find(task.substr(0, task.rfind('.')));
        return found == m_needs.end() ? Room {} : found->second;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, Room> m_needs;
};

struct ExecutorPlace {
    std::string m_id;
    std::string m_machine;
    std::string m_service;
    std::string m_zone;
    std::string m_rack;
    std::string m_ip;
    std::uint16_t m_port = 0;
    Room m_capacity;
};

/// @brief A sound executor that guards its capacity. A task works for as many milliseconds as its `spec` says and ends
/// `done`; one whose spec says `lasting` runs until it is stopped.
class Executor {
public:
    static constexpr std::int64_t holdMaxMs = 10000;
    static constexpr std::int64_t stopMs = 20; // Less than shutdownMs.
    static constexpr std::size_t listedEnds = 500; // Ends in one answer.

    Executor(ExecutorPlace place, Record& record, Runs& runs, Needs& needs)
        : m_place(std::move(place))
        , m_record(record)
        , m_runs(runs)
        , m_needs(needs)
        , m_server(m_place.m_ip, m_place.m_port, [this](const Request& request) { return handle(request); })
    {
    }

    ~Executor()
    {
        if (m_isUp)
            crash("closed");
    }

    auto place() const -> const ExecutorPlace& { return m_place; }
    auto isUp() const -> bool { return m_isUp; }
    auto isDraining() const -> bool { return m_isDraining; }
    auto setDraining() -> void { m_isDraining = true; }

    auto start() -> void
    {
        {
            const std::lock_guard lock(m_mutex);
            m_bornUnixMs = unixMs();
            m_bornAt = steadyMs();
            m_fence = 0;
            m_leaseUntil = 0;
            m_nextEnd = 1;
            m_isUp = true;
            m_ended.clear();
            m_highestEnded.clear();
        }
        m_server.start();
        m_ticker = std::thread([this] {
            while (m_isUp) {
                tick();
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
        });
        m_record.write(m_place.m_id, "up, born " + std::to_string(m_bornUnixMs));
    }

    /// @brief Ends at once, with everything that runs.
    auto crash(const char* how = "crashed") -> void
    {
        if (!m_isUp.exchange(false))
            return;
        const auto at = m_record.now();
        m_record.write(m_place.m_id, std::string(how) + " with " + std::to_string(m_active.size()) + " runs");
        m_changed.notify_all();
        m_server.stop();
        m_ticker.join();
        const std::lock_guard lock(m_mutex);
        for (const auto& [key, run] : m_active)
            m_runs.end(run.m_event, how, at);
        m_active.clear();
        m_used = {};
    }

    auto setCutOff(bool isCutOff) -> void
    {
        m_record.write(m_place.m_id, isCutOff ? "cut off" : "reachable again");
        m_server.setSilent(isCutOff);
    }

    auto entry() -> std::string
    {
        const std::lock_guard lock(m_mutex);
        return json::serialize(json::object { { "service", m_place.m_service },
            { "address", m_place.m_ip + ":" + std::to_string(m_place.m_port) }, { "zone", m_place.m_zone },
            { "version", "v1" }, { "slots", 8 }, { "state", m_isDraining ? "draining" : "ready" },
            { "coldRemainingMs", 0 },
            { "capacity",
                json::object {
                    { "cpu", m_place.m_capacity.m_cpu }, { "memMb", m_place.m_capacity.m_memoryMb }, { "gpu", 0 } } },
            { "labels", json::array { "a", m_place.m_rack } }, { "clockMs", clockMs() }, { "seq", ++m_sequence },
            { "born", m_bornUnixMs } });
    }

    auto runningTasks() -> std::size_t
    {
        const std::lock_guard lock(m_mutex);
        return m_active.size();
    }

    auto used() -> Room
    {
        const std::lock_guard lock(m_mutex);
        return m_used;
    }

    /// @brief Called with each task that has begun, before the start is answered.
    std::function<void(const std::string& task)> m_onStart;

private:
    struct Active {
        std::size_t m_event = 0;
        std::int64_t m_endsAt = 0; ///< On the executor's clock.
        std::string m_how;
        Room m_need;
        bool m_isLasting = false;
    };

    struct Ended {
        std::int64_t m_number = 0;
        std::string m_task;
        std::int64_t m_run = 0;
        std::string m_how;
        std::size_t m_event = 0;
    };

    using RunKey = std::pair<std::string, std::int64_t>;

    auto clockMs() const -> std::int64_t { return steadyMs() - m_bornAt + 1; }

    auto endRun(std::map<RunKey, Active>::iterator item, const std::string& how) -> std::map<RunKey, Active>::iterator
    {
        const auto& [task, run] = item->first;
        m_ended.push_back({ m_nextEnd++, task, run, how, item->second.m_event });
        m_highestEnded[task] = std::max(m_highestEnded[task], run);
        m_used.m_cpu -= item->second.m_need.m_cpu;
        m_used.m_memoryMb -= item->second.m_need.m_memoryMb;
        m_runs.end(item->second.m_event, how, m_record.now());
        m_record.write(m_place.m_id, "end " + task + " run " + std::to_string(run) + " " + how);
        return m_active.erase(item);
    }

    auto tick() -> void
    {
        const std::lock_guard lock(m_mutex);
        const auto now = clockMs();
        if (now > m_leaseUntil) {
            for (const auto& ended : m_ended)
                m_runs.lapse(ended.m_event);
        }
        auto hasEnded = false;
        for (auto item = m_active.begin(); item != m_active.end();) {
            const auto hasLapsed = now > m_leaseUntil;
            if (item->second.m_endsAt > now && !hasLapsed) {
                ++item;
                continue;
            }
            const auto how = item->second.m_endsAt <= now ? item->second.m_how : std::string("lapsed");
            item = endRun(item, how);
            hasEnded = true;
        }
        if (hasEnded)
            m_changed.notify_all();
    }

    auto extendLease(const json::object& body) -> void
    {
        const auto* deadline = body.if_contains("deadlineMs");
        if (deadline != nullptr)
            m_leaseUntil = std::max(m_leaseUntil, std::min(deadline->to_number<std::int64_t>(), clockMs() + holdMaxMs));
    }

    auto refuse(const char* reason) -> Response
    {
        return jsonResponse(409, { { "clockMs", clockMs() }, { "born", m_bornUnixMs }, { "reason", reason } });
    }

    auto handle(const Request& request) -> Response
    {
        if (request.m_path == "/health")
            return { 200, "{}" };
        const auto expected = request.header("hemlockvane-expect-instance");
        if (!expected.empty() && expected != m_place.m_id)
            return jsonResponse(421, {});
        boost::system::error_code error;
        const auto value = json::parse(request.m_body, error);
        if (error || !value.is_object())
            return jsonResponse(400, {});
        const auto& body = value.as_object();
        std::unique_lock lock(m_mutex);
        const auto fence = body.contains("fence") ? body.at("fence").to_number<std::int64_t>() : 0;
        if (fence < m_fence)
            return refuse("fence");
        m_fence = fence;
        if (request.m_path == "/hemlockvane/hold")
            return hold(lock, body);
        if (request.m_path == "/hemlockvane/run-start")
            return startRun(body);
        if (request.m_path == "/hemlockvane/run-stop")
            return stopRun(body);
        return jsonResponse(200, { { "clockMs", clockMs() }, { "born", m_bornUnixMs } });
    }

    auto startRun(const json::object& body) -> Response
    {
        const std::string task(body.at("task").as_string());
        const auto run = body.at("run").to_number<std::int64_t>();
        const std::string spec(body.at("spec").as_string());
        const auto deadline = body.contains("deadlineMs") ? body.at("deadlineMs").to_number<std::int64_t>() : 0;
        const auto answer = json::object { { "clockMs", clockMs() }, { "born", m_bornUnixMs } };
        if (m_active.contains({ task, run })) {
            extendLease(body);
            return jsonResponse(200, answer);
        }
        if (deadline <= clockMs())
            return refuse("late");
        extendLease(body);
        const auto ended = m_highestEnded.find(task);
        if (ended != m_highestEnded.end() && run <= ended->second)
            return refuse("old");
        const auto need = m_needs.of(task);
        if (m_used.m_cpu + need.m_cpu > m_place.m_capacity.m_cpu
            || m_used.m_memoryMb + need.m_memoryMb > m_place.m_capacity.m_memoryMb)
            return refuse("room");
        Active active;
        active.m_isLasting = spec == "lasting";
        active.m_endsAt = active.m_isLasting ? std::numeric_limits<std::int64_t>::max() : clockMs() + std::stoll(spec);
        active.m_how = "done";
        active.m_need = need;
        active.m_event = m_runs.add({ task, run, m_place.m_id, m_record.now(), -1, {}, -1, false });
        m_used.m_cpu += need.m_cpu;
        m_used.m_memoryMb += need.m_memoryMb;
        m_active.emplace(RunKey { task, run }, active);
        m_record.write(m_place.m_id,
            "start " + task + " run " + std::to_string(run) + " fence " + std::to_string(m_fence) + " deadline "
                + std::to_string(deadline) + " clock " + std::to_string(clockMs()));
        if (m_onStart)
            m_onStart(task);
        return jsonResponse(200, answer);
    }

    auto stopRun(const json::object& body) -> Response
    {
        const std::string task(body.at("task").as_string());
        const auto run = body.at("run").to_number<std::int64_t>();
        const auto active = m_active.find({ task, run });
        m_record.write(m_place.m_id, "stop " + task + " run " + std::to_string(run));
        if (active == m_active.end()) {
            m_highestEnded[task] = std::max(m_highestEnded[task], run);
        } else if (active->second.m_endsAt > clockMs() + stopMs) {
            active->second.m_endsAt = clockMs() + stopMs;
            active->second.m_how = "stopped";
        }
        return jsonResponse(200, { { "clockMs", clockMs() }, { "born", m_bornUnixMs } });
    }

    auto hold(std::unique_lock<std::mutex>& lock, const json::object& body) -> Response
    {
        extendLease(body);
        const auto lastSeen = body.contains("lastSeen") ? body.at("lastSeen").to_number<std::int64_t>() : 0;
        while (!m_ended.empty() && m_ended.front().m_number <= lastSeen) {
            m_runs.note(m_ended.front().m_event, m_record.now());
            m_ended.pop_front();
        }
        const auto waitMs = body.contains("waitMs") ? body.at("waitMs").to_number<std::int64_t>() : 0;
        if (waitMs > 0)
            m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), [&] { return !m_ended.empty() || !m_isUp; });
        json::array running;
        for (const auto& [key, active] : m_active) {
            const auto percent = active.m_isLasting ? 100 : 50;
            running.push_back(json::array { key.first, key.second, "", percent, active.m_need.m_cpu });
        }
        json::array finished;
        for (const auto& ended : m_ended) {
            if (finished.size() == listedEnds)
                break;
            finished.push_back(json::array { ended.m_number, ended.m_task, ended.m_run, ended.m_how, "" });
        }
        return jsonResponse(200,
            { { "clockMs", clockMs() }, { "born", m_bornUnixMs }, { "running", std::move(running) },
                { "finished", std::move(finished) } });
    }

    ExecutorPlace m_place;
    Record& m_record;
    Runs& m_runs;
    Needs& m_needs;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_isUp { false };
    std::atomic<bool> m_isDraining { false };
    std::int64_t m_bornUnixMs = 0;
    std::int64_t m_bornAt = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::int64_t m_nextEnd = 1;
    std::int64_t m_sequence = 0;
    Room m_used;
    std::map<RunKey, Active> m_active;
    std::deque<Ended> m_ended;
    std::map<std::string, std::int64_t> m_highestEnded; ///< By task: highest run that was stopped or ended here.
    Server m_server;
    std::thread m_ticker;
};

} // namespace review
