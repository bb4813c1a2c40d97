// A large job is accepted. Whether other jobs, accepted after it, are still run.
#include "../standin/Deployment.hh"

using namespace review;

namespace {

constexpr std::int64_t finishMs = 14000; // finish_s
constexpr std::int64_t waitedMs = 3000; // For so long a job must have nothing running.
constexpr Room smallNeed { 500, 64 };
constexpr Room largeNeed { 20, 8 };

// Waits until all tasks have begun, or none has for 5 s.
auto awaitStarts(Deployment& deployment, const std::string& job, std::size_t count) -> std::size_t
{
    std::size_t starts = 0;
    for (auto changedAt = deployment.record().now(); starts < count && deployment.record().now() < changedAt + 5000;) {
        Deployment::sleepMs(250);
        const auto now = deployment.startsOf(job);
        if (now != starts)
            changedAt = deployment.record().now();
        starts = now;
    }
    return starts;
}

// Whether twice the small job's need is free and under half of the service's capacity is in use.
auto hasRoom(Deployment& deployment) -> bool
{
    std::int64_t used = 0;
    std::int64_t capacity = 0;
    auto isFree = false;
    for (const auto& executor : deployment.executors()) {
        used += executor->used().m_cpu;
        capacity += executor->place().m_capacity.m_cpu;
        isFree = isFree || executor->used().m_cpu + 2 * smallNeed.m_cpu <= executor->place().m_capacity.m_cpu;
    }
    return isFree && used * 2 < capacity;
}

} // namespace

auto main(int, char** arguments) -> int
{
    Deployment deployment(arguments[1]);
    auto& record = deployment.record();
    deployment.addExecutors(8, { 64000, 262144 });
    deployment.configure();
    deployment.startNodes(3);
    if (!deployment.awaitReady())
        return 2;
    const auto count = deployment.isTrouble() ? 12000U : 400U;
    const auto large = deployment.submit(count, largeNeed, "30000", 30000);
    if (large.empty())
        return 2;
    record.say("a job of " + std::to_string(count) + " tasks was accepted");
    const auto starts = awaitStarts(deployment, large, count);
    record.say("of them " + std::to_string(starts) + " have begun; the store refused "
        + std::to_string(deployment.store().refusedForSize()) + " appends for their size");
    std::vector<std::string> jobs;
    for (int i = 0; i < 5; ++i) {
        const auto job = deployment.submit(1, smallNeed, "500", 500);
        if (!job.empty())
            jobs.push_back(job);
    }
    record.say(std::to_string(jobs.size()) + " small jobs were accepted");
    if (jobs.empty())
        return 2;
    Deployment::sleepMs(finishMs);
    auto hadRoom = true;
    for (const auto until = record.now() + waitedMs + 500; record.now() < until; Deployment::sleepMs(100))
        hadRoom = hadRoom && hasRoom(deployment);
    std::size_t lost = 0;
    for (const auto& job : jobs) {
        const auto state = deployment.stateOf(job);
        const auto isLost = deployment.startsOf(job) == 0 && state != "completed" && hadRoom;
        record.say("job " + job + ": " + std::to_string(deployment.startsOf(job)) + " starts, shown as \"" + state
            + "\"" + (isLost ? ": LOST" : ""));
        lost += isLost ? 1 : 0;
    }
    record.say(std::to_string(lost) + " of " + std::to_string(jobs.size()) + " accepted jobs have nothing running "
        + std::to_string(finishMs / 1000) + " s later, " + (hadRoom ? "with" : "without") + " room for them");
    return lost > 0 ? 1 : 0;
}
