// Plays one scene: Main CASE PROGRAM FOLDER RECORD PORT TROUBLE. Exit codes: 0 the rule held, 1 it was broken, 2 the
// scene couldn't be played.
#include "Scene.hh"

#include <csignal>
#include <cstdlib>

namespace scene {

namespace {

const std::string host = "pule25.example";
const std::string key = "sjnbanfqasnmgkcuyj8p";
constexpr int instances = 3;

struct Play {
    Play(asio::io_context& context, Record& record, const std::string& program, const std::string& folder,
        std::uint16_t port)
        : m_record(record)
        , m_world(context, record)
        , m_processes(record, program, folder, port, instances)
        , m_clients(m_world, m_processes, host, key)
        , m_port(port)
    {
    }

    Record& m_record;
    World m_world;
    Processes m_processes;
    Clients m_clients;
    std::uint16_t m_port;
    std::shared_ptr<Server> m_store, m_cloud;
    std::vector<std::string> m_violations;
    std::uint64_t m_random = 88172645463325252ULL;
    int m_exit = 2;
};

auto violate(Play& play, const std::string& text) -> void
{
    play.m_violations.push_back(text);
    play.m_record.write("check", "BROKEN " + text);
}

auto newId(Play& play) -> std::string
{
    play.m_random ^= play.m_random << 13U;
    play.m_random ^= play.m_random >> 7U;
    play.m_random ^= play.m_random << 17U;
    std::string text(16, '0');
    for (std::size_t i = 0; i < text.size(); ++i)
        text[i] = "0123456789abcdef"[(play.m_random >> (i * 4)) & 15U];
    return text;
}

auto route(const std::string& name, const std::string& prefix, const std::string& service, int attempts) -> json::object
{
    return { { "name", name }, { "host", host }, { "pathPrefix", prefix }, { "type", "unsafe" }, { "timeoutMs", 3000 },
        { "targetLatencyMs", 600 }, { "priority", 0 }, { "service", service }, { "maxAttempts", attempts },
        { "stretch", 1.6 }, { "public", false } };
}

auto putConfiguration(Play& play, int version, json::array routes) -> void
{
    json::object config { { "version", version }, { "routes", std::move(routes) },
        { "services", json::array { json::object { { "name", "desk" }, { "admissionCheck", true } } } },
        { "tenants",
            json::array { json::object { { "name", "t1" }, { "apiKeys", json::array { key } }, { "weight", 1.0 },
                { "maxCount", { { "cpu", 0 }, { "memMb", 0 }, { "gpu", 0 } } } } } },
        { "limits", json::object {} } };
    play.m_record.write("operator", "writes version " + std::to_string(version));
    play.m_world.m_store.put("keyed.op", "config", json::serialize(config));
}

// Starts the platform with one service of executors, and the processes of the product; false if that fails.
auto begin(Play& play, int executors) -> Task<bool>
{
    auto& context = play.m_world.m_context;
    play.m_store = std::make_shared<Server>(
        context, [&play](Call call) { return play.m_world.m_store.handle(std::move(call)); });
    play.m_cloud
        = std::make_shared<Server>(context, [&play](Call call) { return handleCloud(play.m_world, std::move(call)); });
    if (!play.m_store->listen("127.1.0.1", play.m_port)
        || !play.m_cloud->listen("127.1.0.1", static_cast<std::uint16_t>(play.m_port + 1)))
        co_return false;
    for (int i = 0; i < executors; ++i) {
        const auto number = std::to_string(i + 1);
        const auto padded = std::string(5 - number.size(), '0') + number;
        auto executor = std::make_shared<Executor>(play.m_world, "i-" + padded, "m-" + padded, "desk",
            std::string("ro-centru-") + static_cast<char>('a' + i % 3), "r" + std::to_string(i / 4 + 1),
            "127.2.0." + number, play.m_port);
        play.m_world.m_executors.push_back(executor);
        if (!executor->start())
            co_return false;
        asio::co_spawn(context, executor->beat(), asio::detached);
    }
    putConfiguration(play, 7, json::array { json::value(route("r-1", "/puxa400/", "desk", 3)) });
    play.m_processes.startAll();
    for (int wait = 0; wait < 100; ++wait) {
        co_await sleepMs(100);
        auto ready = 0;
        for (int i = 0; i < instances; ++i) {
            const auto isReady = co_await play.m_clients.isReady(i);
            ready += isReady ? 1 : 0;
        }
        if (ready == instances) {
            co_await sleepMs(2500); // The ownership is taken over, and the executors have answered.
            co_return true;
        }
    }
    co_return false;
}

struct Handed {
    std::string m_id;
    std::string m_target;
    bool m_lasts = false;
    bool m_isAccepted = false;
    std::string m_state;
};

auto runJob(Play& play, Handed& job, json::object body) -> Task<void>
{
    auto prefix = std::string("/puxa400/");
    auto id = job.m_id;
    const auto status = co_await play.m_clients.submit(std::move(prefix), std::move(id), std::move(body));
    job.m_isAccepted = status == 200;
}

auto stepOf(int count, std::int64_t cpu, std::int64_t memMb, std::int64_t estimateMs) -> json::object
{
    return { { "count", count }, { "cpu", cpu }, { "memMb", memMb }, { "estimateMs", estimateMs } };
}

auto stateAt(Play& play, std::string target) -> Task<std::string>
{
    const auto answer = co_await play.m_clients.get(std::move(target));
    if (!answer)
        co_return "no answer";
    if (answer->m_status != 200)
        co_return std::to_string(answer->m_status);
    co_return textOf(json::parse(answer->m_body).as_object(), "state");
}

// Runs of a task that have been started, and whether one ended done.
auto countRuns(const Play& play, const std::string& task) -> std::pair<int, bool>
{
    std::pair<int, bool> result { 0, false };
    for (const auto& run : play.m_world.m_runs) {
        if (run.m_task != task)
            continue;
        ++result.first;
        result.second = result.second || run.m_how == "done";
    }
    return result;
}

// Case 11: a configuration removes a queue while a job that was accepted there is at work. Its second step's turn comes
// with the whole service free.
auto playRemovedQueue(Play& play, bool hasTrouble) -> Task<void>
{
    constexpr std::int64_t firstStepMs = 6000;
    constexpr std::int64_t watchedMs = 40000;
    const auto isReady = co_await begin(play, 9);
    if (!isReady)
        co_return;
    json::array both;
    both.push_back(route("r-1", "/puxa400/", "desk", 3));
    both.push_back(route("r-2", "/bobo563/", "desk", 3));
    putConfiguration(play, 9, both);
    co_await sleepMs(4000);
    const auto id = newId(play);
    play.m_world.m_facts[id + ".0"] = { 4000, 4000, firstStepMs, false };
    play.m_world.m_facts[id + ".1"] = { 4000, 4000, 1000, false };
    auto second = stepOf(1, 4000, 4000, 1000);
    second["after"] = json::array { 0 };
    json::array steps;
    steps.push_back(stepOf(1, 4000, 4000, firstStepMs));
    steps.push_back(std::move(second));
    json::object body { { "spec", "order" }, { "steps", std::move(steps) } };
    auto prefix = std::string("/bobo563/");
    auto idCopy = id;
    const auto status = co_await play.m_clients.submit(std::move(prefix), std::move(idCopy), std::move(body));
    co_await sleepMs(2000);
    const auto [firstRuns, isFirstDone] = countRuns(play, id + ".0.0.0");
    if (status != 200 || firstRuns != 1 || isFirstDone)
        co_return;
    json::array left;
    left.push_back(route("r-1", "/puxa400/", "desk", 3));
    putConfiguration(play, 12, hasTrouble ? left : both);
    std::int64_t turnAt = -1;
    const auto until = play.m_record.now() + watchedMs;
    while (play.m_record.now() < until && countRuns(play, id + ".0.1.0").first == 0) {
        co_await sleepMs(1000);
        if (turnAt < 0 && countRuns(play, id + ".0.0.0").second)
            turnAt = play.m_record.now();
        auto target = "/bobo563/" + id;
        co_await stateAt(play, std::move(target));
    }
    if (turnAt < 0)
        co_return;
    if (countRuns(play, id + ".0.1.0").first == 0)
        violate(play,
            "LOST: job " + id + " was accepted; its second step's turn came at " + std::to_string(turnAt)
                + ", and nothing of it has run for " + std::to_string(play.m_record.now() - turnAt)
                + " ms with the whole service free");
    co_await sleepMs(2500);
    auto target = "/bobo563/" + id;
    const auto state = co_await stateAt(play, std::move(target));
    play.m_record.write("check", "the client is told " + state + " in the end");
    play.m_exit = !play.m_processes.areAlive() ? 2 : play.m_violations.empty() ? 0 : 1;
}

// A mix of jobs under a mix of disruptions, for looking for faults: gangs, scheduled jobs, copies and cancels.
struct Mixed {
    std::string m_id;
    std::string m_kind;
    bool m_isAccepted = false;
    std::int64_t m_cancelledAt = -1;
    std::int64_t m_completedAt = -1;
    std::int64_t m_dueAt = 0;
    std::int64_t m_intervalMs = 0;
    std::int64_t m_times = 1;
    std::int64_t m_width = 1;
    std::int64_t m_steps = 1;
    std::string m_state;
};

auto submitMixed(Play& play, Mixed& job, json::object body) -> Task<void>
{
    auto prefix = std::string("/puxa400/");
    auto id = job.m_id;
    const auto status = co_await play.m_clients.submit(std::move(prefix), std::move(id), std::move(body));
    job.m_isAccepted = status == 200;
    if (!job.m_isAccepted || job.m_kind != "cancelled")
        co_return;
    co_await sleepMs(static_cast<std::int64_t>(play.m_world.draw() * 1500));
    auto target = "/puxa400/" + job.m_id;
    const auto answer = co_await play.m_clients.del(std::move(target));
    if (answer && answer->m_status == 200)
        job.m_cancelledAt = play.m_record.now();
}

auto sendMixed(Play& play, std::deque<Mixed>& jobs, std::int64_t until) -> Task<void>
{
    static const std::vector<std::string> kinds { "gang", "gang", "timed", "timedgang", "steps", "copies",
        "cancelled" };
    while (play.m_record.now() < until) {
        jobs.push_back({});
        auto& job = jobs.back();
        job.m_id = newId(play);
        job.m_kind = kinds[static_cast<std::size_t>(play.m_world.draw() * static_cast<double>(kinds.size()))];
        job.m_width = 2 + static_cast<std::int64_t>(play.m_world.draw() * 5);
        job.m_steps = job.m_kind == "steps" ? 3 : 1 + static_cast<std::int64_t>(play.m_world.draw() * 2);
        const auto isGang = job.m_kind.find("gang") != std::string::npos;
        json::array steps;
        for (std::int64_t step = 0; step < job.m_steps; ++step) {
            StepFacts facts { 6000, 8000, 300 + static_cast<std::int64_t>(play.m_world.draw() * 900), false,
                isGang ? static_cast<int>(job.m_width) : 0, job.m_kind == "copies" };
            play.m_world.m_facts[job.m_id + "." + std::to_string(step)] = facts;
            auto object = stepOf(static_cast<int>(job.m_width), facts.m_cpu, facts.m_memMb, facts.m_workMs);
            if (isGang)
                object["gang"] = true;
            if (facts.m_mayRunTwice)
                object["allowDuplicates"] = true;
            if (step > 0)
                object["after"] = json::array { step - 1 };
            steps.push_back(std::move(object));
        }
        json::object body { { "spec", job.m_id }, { "steps", std::move(steps) } };
        if (job.m_kind.starts_with("timed")) {
            job.m_times = 6;
            job.m_intervalMs = 500;
            job.m_dueAt = play.m_record.now() + 800;
            body["runCount"] = job.m_times;
            body["startAtMs"] = unixMs() + 800;
            body["intervalMs"] = job.m_intervalMs;
        }
        asio::co_spawn(play.m_world.m_context, submitMixed(play, job, std::move(body)), asio::detached);
        co_await sleepMs(130);
    }
}

auto ownerOf(const Play& play) -> int
{
    const auto record = play.m_world.m_store.lastRecord("owner");
    for (int i = 0; i < instances; ++i) {
        if (record.find("front-" + std::to_string(i + 1)) != std::string::npos)
            return i;
    }
    return 0;
}

auto disturb(Play& play, std::string kinds, std::int64_t until) -> Task<void>
{
    auto& world = play.m_world;
    auto& processes = play.m_processes;
    const auto has = [&](const char* name) { return kinds.find(name) != std::string::npos; };
    while (play.m_record.now() < until) {
        co_await sleepMs(800 + static_cast<std::int64_t>(world.draw() * 2500));
        const auto what = world.draw();
        if (what < 0.3 && has("kill")) {
            const auto owner = ownerOf(play);
            processes.send(owner, SIGKILL);
            co_await sleepMs(200 + static_cast<std::int64_t>(world.draw() * 2500));
            processes.start(owner);
        } else if (what < 0.5 && has("freeze")) {
            const auto owner = ownerOf(play);
            processes.send(owner, SIGSTOP);
            co_await sleepMs(300 + static_cast<std::int64_t>(world.draw() * 5000));
            processes.send(owner, SIGCONT);
        } else if (what < 0.75 && has("crash")) {
            const auto executor = world.m_executors[static_cast<std::size_t>(
                world.draw() * static_cast<double>(world.m_executors.size()))];
            executor->crash();
            co_await sleepMs(50 + static_cast<std::int64_t>(world.draw() * 1500));
            executor->start();
        } else if (what < 0.85 && has("late")) {
            world.m_lateCalls = 0.1;
            co_await sleepMs(2500);
            world.m_lateCalls = 0;
        } else if (what < 0.95 && has("lost")) {
            world.m_lostAnswers = 0.15;
            world.m_lostAppends = 0.2;
            co_await sleepMs(2500);
            world.m_lostAnswers = 0;
            world.m_lostAppends = 0;
        } else if (has("slow")) {
            world.m_store.m_delayMs = 100;
            co_await sleepMs(2500);
            world.m_store.m_delayMs = 0;
        }
    }
}

auto checkMixed(Play& play, const std::deque<Mixed>& jobs) -> void
{
    std::map<std::string, std::vector<const Run*>> byTask;
    for (const auto& run : play.m_world.m_runs)
        byTask[run.m_task].push_back(&run);
    std::map<std::string, std::int64_t> doneAt; // By task; a gang's by its step.
    for (const auto& run : play.m_world.m_runs) {
        if (run.m_how != "done")
            continue;
        auto [place, isNew] = doneAt.emplace(run.m_task, run.m_endedAt);
        if (!isNew)
            place->second = std::min(place->second, run.m_endedAt);
    }
    for (const auto& [task, runs] : byTask) {
        const auto step = task.substr(0, 16) + "." + task.substr(task.find('.', 17) + 1, 1);
        const auto& facts = play.m_world.m_facts[step];
        for (std::size_t a = 0; a < runs.size() && !facts.m_mayRunTwice; ++a) {
            for (std::size_t b = 0; b < runs.size(); ++b) {
                const auto& first = *runs[a];
                const auto& next = *runs[b];
                if (a == b || next.m_startedAt < first.m_startedAt)
                    continue;
                const auto endedAt = first.m_endedAt < 0 ? INT64_MAX : first.m_endedAt;
                if (next.m_startedAt < endedAt && (a < b || next.m_startedAt > first.m_startedAt))
                    violate(play,
                        "TWICE: " + task + " runs " + std::to_string(first.m_run) + " and " + std::to_string(next.m_run)
                            + " at the same time");
                if (first.m_how == "done" && next.m_startedAt >= endedAt && first.m_notedAt >= 0 && !first.m_hasLapsed)
                    violate(play,
                        "TWICE: " + task + " run " + std::to_string(next.m_run) + " after run "
                            + std::to_string(first.m_run) + " was done");
            }
        }
    }
    std::map<std::string, int> kinds;
    for (const auto& job : jobs) {
        if (!job.m_isAccepted)
            continue;
        ++kinds[job.m_kind + " " + job.m_state];
        if (job.m_kind == "cancelled" && job.m_cancelledAt < 0)
            continue;
        if (job.m_cancelledAt >= 0) {
            for (const auto& run : play.m_world.m_runs) {
                if (run.m_task.starts_with(job.m_id) && run.m_startedAt > job.m_cancelledAt + 3000 && !run.m_isLate)
                    violate(play, "UNASKED: " + run.m_task + " is started after its cancel");
            }
            if (job.m_state != "cancelled" && job.m_state != "completed")
                violate(play, "cancelled job " + job.m_id + " is " + job.m_state);
            continue;
        }
        if (job.m_state != "completed")
            violate(play, "LOST: job " + job.m_id + " (" + job.m_kind + ") is shown as " + job.m_state);
        for (std::int64_t time = 0; time < job.m_times; ++time) {
            for (std::int64_t step = 0; step < job.m_steps; ++step) {
                for (std::int64_t index = 0; index < job.m_width; ++index) {
                    const auto name = job.m_id + "." + std::to_string(time) + "." + std::to_string(step) + ".";
                    const auto task = name + std::to_string(index);
                    const auto found = doneAt.find(task);
                    if (job.m_completedAt >= 0 && (found == doneAt.end() || found->second > job.m_completedAt))
                        violate(play, "MIXED: " + job.m_id + " is shown as completed before " + task + " is done");
                    for (const auto* run : byTask[task]) {
                        if (run->m_startedAt < job.m_dueAt + time * job.m_intervalMs - 250)
                            violate(play, "ORDER: " + task + " starts early");
                        for (std::int64_t before = 0; step > 0 && before < job.m_width; ++before) {
                            const auto earlier = doneAt.find(job.m_id + "." + std::to_string(time) + "."
                                + std::to_string(step - 1) + "." + std::to_string(before));
                            if (earlier == doneAt.end() || earlier->second > run->m_startedAt)
                                violate(play, "ORDER: " + task + " starts before its predecessors are done");
                        }
                    }
                }
            }
        }
    }
    for (const auto& [kind, count] : kinds)
        play.m_record.write("check", kind + ": " + std::to_string(count));
}

auto playMixed(Play& play, std::string kinds) -> Task<void>
{
    const auto isReady = co_await begin(play, 9);
    if (!isReady)
        co_return;
    play.m_world.m_store.m_random = &play.m_world;
    std::deque<Mixed> jobs;
    const auto until = play.m_record.now() + 60000;
    asio::co_spawn(play.m_world.m_context, sendMixed(play, jobs, until), asio::detached);
    asio::co_spawn(play.m_world.m_context, disturb(play, kinds, until), asio::detached);
    while (play.m_record.now() < until + 26000) {
        co_await sleepMs(500);
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            auto& job = jobs[i];
            if (!job.m_isAccepted || job.m_state == "completed" || job.m_state == "failed"
                || job.m_state == "cancelled")
                continue;
            auto target = "/puxa400/" + job.m_id;
            const auto state = co_await stateAt(play, std::move(target));
            if (state == "completed")
                job.m_completedAt = play.m_record.now();
            job.m_state = state;
        }
    }
    checkMixed(play, jobs);
    play.m_exit = play.m_violations.empty() ? 0 : 1;
}

// Case 12: one executor stops answering, starts again under its id, and is lost for good. A task that lasts and whose
// start it never answered is to run elsewhere.
auto playSickExecutor(Play& play, bool hasTrouble) -> Task<void>
{
    constexpr int tasks = 8;
    constexpr std::int64_t downMs = 300;
    constexpr std::int64_t calmMs = 4000;
    constexpr std::int64_t missingMs = 3000;
    constexpr std::int64_t watchedMs = 30000;
    const auto isReady = co_await begin(play, 10);
    if (!isReady)
        co_return;
    auto& record = play.m_record;
    const auto sick = play.m_world.m_executors.front();
    if (hasTrouble) {
        record.write(sick->id(), "answers no more");
        sick->m_isHung = true;
    }
    co_await sleepMs(200);
    std::deque<Handed> jobs;
    jobs.push_back({ newId(play), {}, true, false, {} });
    auto& job = jobs.back();
    play.m_world.m_facts[job.m_id + ".0"] = { 5400, 35000, 0, true };
    auto step = stepOf(tasks, 5400, 35000, 700);
    step["longRunning"] = true;
    step["antiAffinity"] = 1;
    json::array steps;
    steps.push_back(std::move(step));
    json::object body { { "spec", "lasts" }, { "steps", std::move(steps) } };
    co_await runJob(play, job, std::move(body));
    co_await sleepMs(1000);
    if (hasTrouble) {
        sick->crash();
        co_await sleepMs(downMs);
        sick->start(); // It still answers nothing.
        co_await sleepMs(1500);
        sick->crash();
        asio::co_spawn(play.m_world.m_context, sick->expire(), asio::detached);
        record.write(sick->id(), "is lost for good");
    }
    const auto lostAt = record.now();
    std::map<std::string, std::int64_t> missingSince;
    std::int64_t longest = 0;
    std::string longestTask;
    while (record.now() < lostAt + watchedMs) {
        std::set<std::string> running;
        for (const auto& run : play.m_world.m_runs) {
            if (run.m_endedAt < 0)
                running.insert(run.m_task);
        }
        for (int index = 0; index < tasks; ++index) {
            const auto task = job.m_id + ".0.0." + std::to_string(index);
            if (running.contains(task)) {
                missingSince.erase(task);
                continue;
            }
            const auto since = std::max(missingSince.emplace(task, record.now()).first->second, lostAt + calmMs);
            if (record.now() - since <= longest)
                continue;
            longest = record.now() - since;
            longestTask = task;
        }
        co_await sleepMs(20);
    }
    const auto up = std::count_if(play.m_world.m_executors.begin(), play.m_world.m_executors.end(),
        [](const auto& executor) { return executor->isUp(); });
    record.write("check",
        std::to_string(up)
            + " executors are up; longest time without a run of a task, from 4 s after the last "
              "disruption on: "
            + std::to_string(longest) + " ms " + longestTask);
    if (longest > missingMs)
        violate(play,
            "LOST: " + longestTask + " is to last and doesn't run for " + std::to_string(longest)
                + " ms in calm, with room for it on two empty executors");
    play.m_exit = !job.m_isAccepted || !play.m_processes.areAlive() ? 2 : play.m_violations.empty() ? 0 : 1;
}

// Case 15: a wave is ordered for a machine that joined while the service of the machines was busy.
auto playNewMachineWave(Play& play, bool hasTrouble) -> Task<void>
{
    constexpr std::int64_t busyMs = 4000;
    constexpr std::int64_t watchedMs = 34000;
    const auto isReady = co_await begin(play, 8);
    if (!isReady)
        co_return;
    co_await sleepMs(2500);
    auto& world = play.m_world;
    if (hasTrouble) {
        play.m_record.write("cloud", "is busy from now on");
        world.m_isCloudBusy = true;
    }
    co_await sleepMs(1000);
    auto added = std::make_shared<Executor>(
        world, "i-00009", "m-00009", "desk", "ro-centru-c", "r3", "127.2.0.9", play.m_port);
    world.m_executors.push_back(added);
    if (!added->start())
        co_return;
    asio::co_spawn(world.m_context, added->beat(), asio::detached);
    co_await sleepMs(1000);
    play.m_record.write("operator", "orders wave 1 for m-00009");
    world.m_store.put("keyed.op", "wave/1",
        json::serialize(json::object {
            { "wave", 1 }, { "machines", json::array { "m-00009" } }, { "durationS", 26 }, { "maxCount", 1 } }));
    const auto orderedAt = play.m_record.now();
    std::int64_t completedAt = -1;
    while (play.m_record.now() < orderedAt + watchedMs) {
        co_await sleepMs(20);
        if (world.m_isCloudBusy && play.m_record.now() > orderedAt + busyMs - 2000) {
            play.m_record.write("cloud", "is sound again");
            world.m_isCloudBusy = false;
        }
        const auto status = world.m_store.newestValue("keyed.status", "wave/1");
        const auto isCompleted = status && status->find("completed") != std::string::npos;
        if (!isCompleted || completedAt >= 0)
            continue;
        completedAt = play.m_record.now();
        const auto hasBegun = world.m_upkeepBegan.contains("m-00009");
        play.m_record.write(
            "store", "status/wave/1 is " + *status + "; the upkeep has " + (hasBegun ? "" : "not ") + "begun");
        if (!hasBegun)
            violate(play, "MIXED: wave 1 is said to be completed, and m-00009, which stays, hasn't begun its upkeep");
    }
    play.m_record.write("check",
        std::string("the upkeep of m-00009 has ")
            + (world.m_upkeepBegan.contains("m-00009") ? "begun" : "never begun"));
    play.m_exit = completedAt < 0 || !play.m_processes.areAlive() ? 2 : play.m_violations.empty() ? 0 : 1;
}

auto orderWave(Play& play, int machines) -> void
{
    json::array named;
    for (int i = 1; i <= machines; ++i)
        named.push_back(json::string("m-0000" + std::to_string(i)));
    play.m_record.write("operator", "writes wave 1 with " + std::to_string(machines) + " machines");
    play.m_world.m_store.put("keyed.op", "wave/1",
        json::serialize(
            json::object { { "wave", 1 }, { "machines", std::move(named) }, { "durationS", 26 }, { "maxCount", 1 } }));
}

// Case 14: the operator adds two machines to a wave that is running.
auto playLongerWave(Play& play, bool hasTrouble) -> Task<void>
{
    constexpr int first = 2;
    constexpr int all = 4;
    constexpr std::int64_t watchedMs = 34000;
    const auto isReady = co_await begin(play, 8);
    if (!isReady)
        co_return;
    auto& world = play.m_world;
    const auto stateOf = [&] { return world.m_store.newestValue("keyed.status", "wave/1").value_or("not written"); };
    orderWave(play, hasTrouble ? first : all);
    co_await sleepMs(1500);
    const auto before = stateOf();
    if (before.find("running") == std::string::npos)
        co_return;
    if (hasTrouble)
        orderWave(play, all);
    const auto until = play.m_record.now() + watchedMs;
    auto isCompleted = false;
    while (play.m_record.now() < until) {
        co_await sleepMs(20);
        if (isCompleted || stateOf().find("completed") == std::string::npos)
            continue;
        isCompleted = true;
        const auto begun = world.m_upkeepBegan.size();
        play.m_record.write("store", "status/wave/1 is completed; " + std::to_string(begun) + " upkeeps have begun");
        if (begun < all)
            violate(play,
                "MIXED: wave 1 is said to be completed, and " + std::to_string(all - begun)
                    + " of its machines, which stay, haven't begun their upkeep");
    }
    play.m_record.write(
        "check", std::to_string(world.m_upkeepBegan.size()) + " of " + std::to_string(all) + " upkeeps have begun");
    play.m_exit = !isCompleted || !play.m_processes.areAlive() ? 2 : play.m_violations.empty() ? 0 : 1;
}

// Executors number `first` and the next one lose power, and come back under their ids.
auto darkenTwo(Play& play, std::size_t first, std::int64_t forMs) -> Task<void>
{
    for (std::size_t i = first; i < first + 2; ++i)
        play.m_world.m_executors[i]->goDark();
    co_await sleepMs(forMs);
    for (std::size_t i = first; i < first + 2; ++i)
        play.m_world.m_executors[i]->start();
}

// Case 13: two executors lose power, and two others when those come back. A job that is handed in meanwhile is shown as
// failed, though nothing of it has ever been begun.
auto playDarkExecutors(Play& play, bool hasTrouble) -> Task<void>
{
    constexpr std::int64_t darkMs = 4500;
    constexpr std::int64_t workMs = 640;
    constexpr std::int64_t watchedMs = 24000;
    constexpr int executors = 14;
    const auto isReady = co_await begin(play, executors);
    if (!isReady)
        co_return;
    // A job with a task on each executor, so that there are connections to all of them.
    Handed first { newId(play), {}, false, false, {} };
    play.m_world.m_facts[first.m_id + ".0"] = { 500, 500, 300 };
    auto wide = stepOf(executors, 500, 500, 300);
    wide["antiAffinity"] = 1;
    json::array wideSteps;
    wideSteps.push_back(std::move(wide));
    json::object wideBody { { "spec", "check" }, { "steps", std::move(wideSteps) } };
    co_await runJob(play, first, std::move(wideBody));
    co_await sleepMs(1500);
    if (static_cast<int>(play.m_world.m_runs.size()) != executors)
        co_return;
    auto& context = play.m_world.m_context;
    const auto beganAt = play.m_record.now();
    if (hasTrouble)
        asio::co_spawn(context, darkenTwo(play, 0, darkMs), asio::detached);
    co_await sleepMs(300);
    Handed job { newId(play), {}, false, false, {} };
    job.m_target = "/puxa400/" + job.m_id;
    const auto task = job.m_id + ".0.0.0";
    play.m_world.m_facts[job.m_id + ".0"] = { 4600, 13000, workMs, false, 0, true };
    auto step = stepOf(1, 4600, 13000, workMs);
    step["allowDuplicates"] = true;
    json::array steps;
    steps.push_back(std::move(step));
    json::object body { { "spec", "quote" }, { "steps", std::move(steps) } };
    co_await runJob(play, job, std::move(body));
    co_await sleepMs(beganAt + darkMs - play.m_record.now());
    co_await sleepMs(5); // The first two are back.
    if (hasTrouble)
        asio::co_spawn(context, darkenTwo(play, 2, darkMs), asio::detached);
    while (play.m_record.now() < beganAt + watchedMs && job.m_state != "completed" && job.m_state != "failed") {
        co_await sleepMs(500);
        auto target = job.m_target;
        job.m_state = co_await stateAt(play, std::move(target));
    }
    auto failed = 0;
    for (const auto& run : play.m_world.m_runs)
        failed += run.m_how == "failed" ? 1 : 0;
    const auto runs = countRuns(play, task).first;
    play.m_record.write("check",
        "job " + job.m_id + " is " + job.m_state + "; " + std::to_string(runs) + " runs of its task were begun, and "
            + std::to_string(failed) + " ended failed");
    if (job.m_state != "completed")
        violate(play, "LOST: job " + job.m_id + " is shown as " + job.m_state + " without cause");
    play.m_exit = !job.m_isAccepted || !play.m_processes.areAlive() ? 2 : play.m_violations.empty() ? 0 : 1;
}

auto playAll(Play& play, const std::string& name, bool hasTrouble) -> Task<void>
{
    if (name.starts_with("mixed"))
        co_await playMixed(play, name);
    if (name == "12")
        co_await playSickExecutor(play, hasTrouble);
    if (name == "15")
        co_await playNewMachineWave(play, hasTrouble);
    if (name == "14")
        co_await playLongerWave(play, hasTrouble);
    if (name == "13")
        co_await playDarkExecutors(play, hasTrouble);
    if (name == "11")
        co_await playRemovedQueue(play, hasTrouble);
    play.m_processes.endAll();
    play.m_world.m_context.stop();
}

} // namespace

} // namespace scene

auto main(int argc, char** argv) -> int
{
    using namespace scene;
    if (argc != 7)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context;
    Record record(argv[4]);
    Play play(context, record, argv[2], argv[3], static_cast<std::uint16_t>(std::atoi(argv[5])));
    const std::string name = argv[1];
    play.m_world.m_random = static_cast<std::uint64_t>(std::atoll(argv[6])) * 7919 + 12345;
    play.m_random += play.m_world.m_random;
    asio::co_spawn(context, playAll(play, name, std::string(argv[6]) != "0"), asio::detached);
    context.run();
    record.write("check", "exit " + std::to_string(play.m_exit));
    return play.m_exit;
}
