// A new configuration removes a route while an accepted job of it is at work.
#include "../stage/Deployment.hh"

#include <boost/json/src.hpp>

#include <iostream>

using namespace stage;

namespace {

constexpr std::int64_t workMs = 1700;
constexpr std::int64_t stableMs = 18000; // finish_s (14) after the last change and 4 s more, all calm.
constexpr std::int64_t idleAllowedMs = 3000; // For which a job may have nothing running though its turn has come.
const std::string prefix = "/puxa400/";
const std::string otherPrefix = "/wuhu344/";

struct Progress {
    std::size_t m_done = 0;
    std::size_t m_running = 0;
    std::int64_t m_lastEndAt = 0;
};

auto progressOf(Deployment& deployment, const std::string& job) -> Progress
{
    const std::lock_guard lock(deployment.m_runs.m_mutex);
    Progress progress;
    for (const auto& run : deployment.m_runs.m_all) {
        if (run.m_task.rfind(job, 0) != 0)
            continue;
        progress.m_done += run.m_how == "done" ? 1 : 0;
        progress.m_running += run.m_endedAt < 0 ? 1 : 0;
        progress.m_lastEndAt = std::max(progress.m_lastEndAt, run.m_endedAt);
    }
    return progress;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    const std::string recordPath = argc > 2 ? argv[2] : "record.txt";
    const auto* trouble = std::getenv("TROUBLE");
    const auto isTroubled = trouble == nullptr || std::string(trouble) != "0";
    Record record(recordPath);
    Deployment deployment(folder, record, [](const std::string&) { return TaskFacts { 3800, 1024, workMs, false }; });
    if (!deployment.start(8, 3))
        deployment.finish(2, "step 1");
    const auto route1 = route("r-iikdrbn", prefix, 0, 4);
    const auto route2 = route("r-3is47qd", otherPrefix, 0, 4);
    deployment.putConfiguration(configuration(3, { route1, route2 }));
    Client client(record);
    if (!deployment.awaitReady())
        deployment.finish(2, "step 2");
    pause(3000);
    const std::string job = "5c0e7a21d94b36f8";
    const std::string body = R"({"spec":"hold","steps":[{"count":8,"cpu":3800,"memMb":1024,"estimateMs":1700},)"
                             R"({"count":8,"cpu":3800,"memMb":1024,"estimateMs":1700,"after":[0]}]})";
    if (client.ask(*deployment.m_nodes[0], "POST", prefix + job, body).m_status != 200)
        deployment.finish(2, "step 3");
    pause(600);
    deployment.putConfiguration(configuration(7, isTroubled ? json::array { route2 } : json::array { route1, route2 }));
    pause(stableMs);
    const auto progress = progressOf(deployment, job);
    const auto idleMs = progress.m_running > 0 ? 0 : record.now() - progress.m_lastEndAt;
    const auto isBroken = progress.m_done < 16 && idleMs > idleAllowedMs;
    for (const auto& node : deployment.m_nodes)
        client.ask(*node, "GET", prefix + job);
    // The queue's other route still serves, so there is capacity and an owner.
    const std::string other = "00000000000000b2";
    client.ask(*deployment.m_nodes[1], "POST", otherPrefix + other, body);
    pause(6000);
    const auto otherDone = progressOf(deployment, other).m_done;
    record.write("check", "job " + job + ": " + std::to_string(progress.m_done) + " of 16 tasks are done, nothing runs for "
            + std::to_string(idleMs) + " ms; job " + other + " of the other route: " + std::to_string(otherDone)
            + " of 16 done" + (isBroken ? "; LOST is broken" : "; held"));
    std::cout << progress.m_done << " done, idle for " << idleMs << " ms; other route " << otherDone << std::endl;
    if (otherDone != 16)
        deployment.finish(2, "step 4");
    deployment.finish(isBroken ? 1 : 0);
}
