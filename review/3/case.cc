// The process that leads is killed while an executor has more than 500 ends to tell. Whether tasks that have ended
// `done` are started again.
#include "../standin/Deployment.hh"

using namespace review;

namespace {

constexpr std::size_t taskCount = 1500;
constexpr std::int64_t workMs = 8000;
constexpr Room need { 20, 8 };

} // namespace

auto main(int, char** arguments) -> int
{
    Deployment deployment(arguments[1]);
    auto& record = deployment.record();
    deployment.addExecutors(4, { 64000, 262144 });
    deployment.configure();
    deployment.startNodes(3);
    if (!deployment.awaitReady())
        return 2;
    const auto job = deployment.submit(taskCount, need, std::to_string(workMs), workMs);
    if (job.empty())
        return 2;
    const auto acceptedAt = record.now();
    while (deployment.runs().all().size() < taskCount && record.now() < acceptedAt + workMs)
        Deployment::sleepMs(50);
    const auto begun = deployment.runs().all();
    if (begun.empty())
        return 2;
    record.say(std::to_string(begun.size()) + " of " + std::to_string(taskCount) + " tasks began within "
        + std::to_string(record.now() - acceptedAt) + " ms");
    const auto killAt = begun.front().m_startedAt + workMs - 200;
    if (begun.size() < taskCount || record.now() > killAt)
        return 2;
    Deployment::sleepMs(killAt - record.now());
    const auto owner = deployment.owner();
    if (!owner)
        return 2;
    if (deployment.isTrouble())
        deployment.kill(*owner);
    // Killed processes are started again after a short delay.
    Deployment::sleepMs(3500);
    if (deployment.isTrouble())
        deployment.startNode(*owner);
    std::string state;
    for (const auto until = record.now() + 30000; state != "completed" && record.now() < until;) {
        Deployment::sleepMs(500);
        state = deployment.stateOf(job);
    }
    Deployment::sleepMs(2000); // For the last ends to be taken note of.
    std::map<std::string, RunEvent> done; // By task: its first run that ended `done`.
    std::size_t again = 0;
    std::size_t atOnce = 0;
    for (const auto& run : deployment.runs().all()) {
        const auto earlier = done.find(run.m_task);
        if (earlier == done.end()) {
            if (run.m_how == "done")
                done.emplace(run.m_task, run);
            continue;
        }
        const auto& first = earlier->second;
        if (run.m_startedAt < first.m_endedAt) {
            ++atOnce;
        } else if (first.m_notedAt >= 0 && !first.m_hasLapsed) {
            if (++again <= 5)
                record.say("task " + run.m_task + ": run " + std::to_string(first.m_run) + " ended done at "
                    + std::to_string(first.m_endedAt) + " ms on " + first.m_executor + ", noted at "
                    + std::to_string(first.m_notedAt) + " ms; run " + std::to_string(run.m_run) + " began at "
                    + std::to_string(run.m_startedAt) + " ms on " + run.m_executor + ": TWICE");
        }
    }
    record.say("job shown as \"" + state + "\"; tasks started again after an end done that was taken note of: "
        + std::to_string(again) + "; twice at once: " + std::to_string(atOnce));
    return again + atOnce > 0 ? 1 : 0;
}
