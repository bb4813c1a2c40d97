// A client hands in one scheduled job whose first time is in the past.
#include "../stage/Deployment.hh"

#include <boost/json/src.hpp>

#include <iostream>

using namespace stage;

namespace {

constexpr int memoryMb = 260; // limits.memoryMb: a process that takes more is killed, and started again.
constexpr std::int64_t restartMs = 500;
constexpr std::int64_t trafficMs = 20000;
constexpr std::int64_t finishMs = 14000;
constexpr int endsOfAFault = 3; // On a tenth of the machines: one of three.
const std::string prefix = "/puxa400/";

} // namespace

auto main(int argc, char** argv) -> int
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    const std::string recordPath = argc > 2 ? argv[2] : "record.txt";
    const auto* trouble = std::getenv("TROUBLE");
    const auto isTroubled = trouble == nullptr || std::string(trouble) != "0";
    Record record(recordPath);
    Deployment deployment(folder, record, [](const std::string&) { return TaskFacts { 500, 128, 700, false }; });
    if (!deployment.start(8, 3))
        deployment.finish(2, "step 1");
    deployment.putConfiguration(configuration(1, { route("r-iikdrbn", prefix, 0, 4) }));
    Client client(record);
    if (!deployment.awaitReady())
        deployment.finish(2, "step 2");
    pause(3000);
    std::atomic<bool> isOver { false };
    std::vector<int> ends(deployment.m_nodes.size());
    std::thread([&] {
        while (!isOver) {
            for (std::size_t i = 0; i < deployment.m_nodes.size(); ++i) {
                auto& node = *deployment.m_nodes[i];
                const auto peak = node.peakMb();
                if (peak <= memoryMb)
                    continue;
                record.write(node.name(), "takes " + std::to_string(peak) + " MB, limits.memoryMb is "
                        + std::to_string(memoryMb) + ": killed");
                node.signal(SIGKILL);
                ++ends[i];
                pause(restartMs);
                node.start(deployment.m_store.address(), deployment.m_cloud.address());
            }
            pause(5);
        }
    }).detach();
    // Every minute for two weeks. The client gives the first time in seconds, so that all times are past; without the
    // trouble the first time is a minute ahead.
    const auto firstMs = isTroubled ? unixMs() / 1000 : unixMs() + 60000;
    const auto body = R"({"spec":"report","runCount":20000,"intervalMs":60000,"startAtMs":)" + std::to_string(firstMs)
        + R"(,"steps":[{"count":200,"cpu":500,"memMb":128,"estimateMs":700}]})";
    const auto reply = client.ask(*deployment.m_nodes[0], "POST", prefix + "5c0e7a21d94b36f8", body);
    // Ordinary callers, who repeat what is not answered with success.
    std::vector<std::string> accepted;
    const auto until = nowMs() + trafficMs;
    for (std::size_t number = 0; nowMs() < until; ++number) {
        char id[17];
        std::snprintf(id, sizeof id, "%016zx", 0xa000 + number);
        for (std::size_t i = 0; i < deployment.m_nodes.size(); ++i) {
            const auto& node = deployment.m_nodes[(number + i) % deployment.m_nodes.size()];
            if (client.ask(*node, "POST", prefix + id,
                          R"({"spec":"quote","steps":[{"count":2,"cpu":500,"memMb":128,"estimateMs":700}]})")
                    .m_status
                == 200) {
                accepted.emplace_back(id);
                break;
            }
        }
        pause(1000);
    }
    pause(finishMs);
    int unanswered = 0;
    int completed = 0;
    for (const auto& id : accepted) {
        const auto state = client.stateOf(deployment.m_nodes, prefix + id);
        unanswered += state.empty() || state == "410" ? 1 : 0;
        completed += state == "completed" ? 1 : 0;
    }
    isOver = true;
    const auto mostEnds = *std::max_element(ends.begin(), ends.end());
    const auto isBroken = unanswered > 0 || mostEnds >= endsOfAFault;
    record.write("check", "the scheduled job was answered " + std::to_string(reply.m_status)
            + "; ends of one machine's processes over their memory: " + std::to_string(mostEnds) + "; of "
            + std::to_string(accepted.size()) + " ordinary jobs that were accepted, asked for 14 s after the traffic, "
            + std::to_string(unanswered) + " get no answer and " + std::to_string(completed) + " are completed"
            + (isBroken ? "; LOST is broken" : "; held"));
    std::cout << "status " << reply.m_status << ", ends " << mostEnds << ", accepted " << accepted.size()
              << ", unanswered " << unanswered << ", completed " << completed << std::endl;
    deployment.finish(accepted.empty() ? 2 : isBroken ? 1 : 0);
}
