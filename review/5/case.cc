// A pool of 120 executors. The policy of the queue's advice allows four of them; two of these drain and leave. Whether
// a job is run on the other two.
#include "../standin/Deployment.hh"

using namespace review;

namespace {

constexpr std::int64_t finishMs = 14000; // finish_s
constexpr std::int64_t waitedMs = 3000; // For so long a job must have nothing running.
constexpr std::int64_t drainMs = 2000;
constexpr Room need { 1000, 256 };
constexpr std::size_t leaving[] = { 3, 7 };
constexpr std::size_t staying[] = { 110, 115 };

} // namespace

auto main(int, char** arguments) -> int
{
    Deployment deployment(arguments[1]);
    auto& record = deployment.record();
    deployment.addExecutors(120, { 16000, 32768 });
    for (const auto number : { leaving[0], leaving[1], staying[0], staying[1] })
        deployment.m_allowed.push_back(deployment.executors()[number - 1]->place().m_id);
    deployment.configure();
    deployment.startNodes(2);
    if (!deployment.awaitReady())
        return 2;
    const auto first = deployment.submit(2, need, "500", 500);
    if (first.empty())
        return 2;
    Deployment::sleepMs(4000);
    const auto firstState = deployment.stateOf(first);
    record.say("a job before any executor leaves is shown as \"" + firstState + "\"");
    if (firstState != "completed")
        return 2;
    if (deployment.isTrouble()) {
        for (const auto number : leaving) {
            auto& executor = *deployment.executors()[number - 1];
            record.write(executor.place().m_id, "draining");
            executor.setDraining();
            deployment.publish(executor);
        }
        Deployment::sleepMs(drainMs + 500);
        for (const auto number : leaving) {
            auto& executor = *deployment.executors()[number - 1];
            executor.crash("left");
            deployment.removeEntry(executor);
        }
        Deployment::sleepMs(2000);
    }
    const auto job = deployment.submit(2, need, "500", 500);
    if (job.empty())
        return 2;
    record.say("the next job was accepted");
    Deployment::sleepMs(finishMs + waitedMs + 500);
    const auto starts = deployment.startsOf(job);
    auto isFree = true;
    for (const auto number : staying) {
        auto& executor = *deployment.executors()[number - 1];
        isFree = isFree && executor.isUp() && !executor.isDraining() && executor.runningTasks() == 0;
    }
    const auto state = deployment.stateOf(job);
    const auto isLost = starts == 0 && isFree && state != "completed";
    record.say("job " + job + " is shown as \"" + state + "\", " + std::to_string(starts)
        + " starts; the two executors " + "that may run it are " + (isFree ? "up and empty" : "busy")
        + (isLost ? ": LOST" : ""));
    return isLost ? 1 : 0;
}
