#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <random>
#include <vector>

namespace {

constexpr std::size_t executorCount = 10;
constexpr std::size_t entryCount = 9;
constexpr int slotsPerExecutor = 8;
constexpr int simulatedMs = 60000;
constexpr int loadReportIntervalMs = 100; // Interval at which entries receive the executors' load.
constexpr double meanRunMs = 50;

// How an entry that holds no permits chooses an executor.
enum class ChoicePolicy { Random, LeastOfTwo };

struct ChoiceResult {
    double m_saturatedShare = 0; // Fraction of requests sent to an executor whose slots were all in use.
    int m_maxConcurrent = 0; // Largest number of concurrent requests at one executor.
};

auto choose(ChoicePolicy policy, const std::vector<int>& reportedLoad, std::mt19937_64& random) -> std::size_t
{
    std::uniform_int_distribution<std::size_t> any(0, executorCount - 1);
    const auto first = any(random);
    if (policy == ChoicePolicy::Random)
        return first;
    const auto second = any(random);
    return reportedLoad[second] < reportedLoad[first] ? second : first;
}

auto measure(ChoicePolicy policy, double load, std::uint64_t seed) -> ChoiceResult
{
    std::mt19937_64 random(seed);
    std::poisson_distribution<int> arrivals(load * slotsPerExecutor * executorCount / meanRunMs / entryCount);
    std::uniform_real_distribution<double> runMs(0.1 * meanRunMs, 1.9 * meanRunMs);
    std::vector<std::vector<int>> runEnds(executorCount);
    std::vector<int> reportedLoad(executorCount);
    ChoiceResult result;
    auto requests = 0;
    auto saturated = 0;
    for (int now = 0; now < simulatedMs; ++now) {
        for (std::size_t executor = 0; executor < executorCount; ++executor) {
            std::erase_if(runEnds[executor], [&](auto end) { return end <= now; });
            if (now % loadReportIntervalMs == 0)
                reportedLoad[executor] = static_cast<int>(runEnds[executor].size());
        }
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            for (auto count = arrivals(random); count > 0; --count) {
                auto& chosen = runEnds[choose(policy, reportedLoad, random)];
                ++requests;
                saturated += chosen.size() >= slotsPerExecutor ? 1 : 0;
                chosen.push_back(now + static_cast<int>(runMs(random)));
                result.m_maxConcurrent = std::max(result.m_maxConcurrent, static_cast<int>(chosen.size()));
            }
        }
    }
    result.m_saturatedShare = requests == 0 ? 0 : static_cast<double>(saturated) / requests;
    return result;
}

auto run(int argc, char** argv) -> void
{
    TCLAP::CmdLine commandLine("Measures how often executors are chosen that have no free slot", ' ', "1");
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed", false, 1, "number", commandLine);
    commandLine.parse(argc, argv);
    std::printf(
        "| load of the slots | random: over the slots %% | most at once | least of two: over the slots %% | most "
        "at once |\n|---|---|---|---|---|\n");
    for (const auto load : { 0.3, 0.6, 0.9 }) {
        const auto random = measure(ChoicePolicy::Random, load, seed.getValue());
        const auto leastOfTwo = measure(ChoicePolicy::LeastOfTwo, load, seed.getValue());
        std::printf("| %.1f | %.1f | %d | %.1f | %d |\n", load, 100 * random.m_saturatedShare, random.m_maxConcurrent,
            100 * leastOfTwo.m_saturatedShare, leastOfTwo.m_maxConcurrent);
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    try {
        run(argc, argv);
        return 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "ExecutorChoiceBench: %s\n", error.what());
        return 1;
    }
}
