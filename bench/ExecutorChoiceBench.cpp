#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <random>
#include <vector>

namespace {

constexpr std::size_t executorCount = 10;
constexpr std::size_t entryCount = 9;
constexpr int slotCount = 8;
constexpr int virtualMs = 60000;
constexpr int gossipMs = 100; // Age at which entries learn the executors' load.
constexpr double meanRunMs = 50;

// How an entry without permits chooses an executor.
enum class Choice { Random, LeastOfTwo };

struct ChoiceResult {
    double m_overSlots = 0; // Part of the requests that found all slots of their executor in use.
    int m_mostAtOnce = 0; // Requests at one executor.
};

auto choose(Choice choice, const std::vector<int>& gossiped, std::mt19937_64& random) -> std::size_t
{
    std::uniform_int_distribution<std::size_t> any(0, executorCount - 1);
    const auto first = any(random);
    if (choice == Choice::Random)
        return first;
    const auto second = any(random);
    return gossiped[second] < gossiped[first] ? second : first;
}

auto measure(Choice choice, double load, std::uint64_t seed) -> ChoiceResult
{
    std::mt19937_64 random(seed);
    std::poisson_distribution<int> arrivals(load * slotCount * executorCount / meanRunMs / entryCount);
    std::uniform_real_distribution<double> run(0.1 * meanRunMs, 1.9 * meanRunMs);
    std::vector<std::vector<int>> ends(executorCount);
    std::vector<int> gossiped(executorCount);
    ChoiceResult result;
    auto requests = 0;
    auto over = 0;
    for (int now = 0; now < virtualMs; ++now) {
        for (std::size_t x = 0; x < executorCount; ++x) {
            std::erase_if(ends[x], [&](auto end) { return end <= now; });
            if (now % gossipMs == 0)
                gossiped[x] = static_cast<int>(ends[x].size());
        }
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            for (auto count = arrivals(random); count > 0; --count) {
                auto& chosen = ends[choose(choice, gossiped, random)];
                ++requests;
                over += chosen.size() >= slotCount ? 1 : 0;
                chosen.push_back(now + static_cast<int>(run(random)));
                result.m_mostAtOnce = std::max(result.m_mostAtOnce, static_cast<int>(chosen.size()));
            }
        }
    }
    result.m_overSlots = requests == 0 ? 0 : static_cast<double>(over) / requests;
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
        const auto random = measure(Choice::Random, load, seed.getValue());
        const auto least = measure(Choice::LeastOfTwo, load, seed.getValue());
        std::printf("| %.1f | %.1f | %d | %.1f | %d |\n", load, 100 * random.m_overSlots, random.m_mostAtOnce,
            100 * least.m_overSlots, least.m_mostAtOnce);
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
