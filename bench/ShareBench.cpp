#include "ShareSimulation.h"

#include <tclap/CmdLine.h>

#include <cstdio>
#include <exception>

using namespace hemlockvane::bench;

namespace {

auto printRow(const char* workload, const char* policy, const ShareResult& result) -> void
{
    std::printf(
        "| %-28s | %-12s | %6.1f | %6.1f | %7.1f | %6.1f | %6.1f | %8d | %8.0f | %8.0f | %9llu | %9llu | %9llu |\n",
        workload, policy, 100 * result.m_meanDistance, 100 * result.m_distanceP95, 100 * result.m_largestDistance,
        100 * result.m_sampledMeanDistance, 100 * result.m_busyFraction, result.m_longestUnservedMs,
        result.m_firstTeamWaitP50Ms, result.m_firstTeamWaitP99Ms, static_cast<unsigned long long>(result.m_dispatched),
        static_cast<unsigned long long>(result.m_shed), static_cast<unsigned long long>(result.m_messages));
    std::fflush(stdout);
}

auto run(int argc, char** argv) -> void
{
    TCLAP::CmdLine commandLine("Measures share distance and busy slots in virtual time", ' ', "1");
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "first seed", false, 1, "number", commandLine);
    TCLAP::ValueArg<int> seconds("t", "seconds", "virtual seconds", false, 50, "seconds", commandLine);
    TCLAP::ValueArg<int> delay("d", "delay", "delay between entries", false, 1, "ms", commandLine);
    TCLAP::SwitchArg baselines("b", "no-baselines", "leave the baselines out", commandLine);
    TCLAP::ValueArg<std::string> only("w", "workload", "run only this workload", false, "", "name", commandLine);
    commandLine.parse(argc, argv);
    std::printf("| workload | policy | mean distance %% | 95th %% | largest %% | sampled mean %% | busy %% | unserved "
                "ms | quick wait p50 ms "
                "| p99 ms | run | shed | messages |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    const std::vector<ShareWorkload> workloads { makeWorkload("Maraval", 4, 0, 0),
        makeWorkload("Maraval, greedy team, 50 ms", 4, 100, 50),
        makeWorkload("Maraval, greedy team, 1 s", 4, 100, 1000), makeWorkload("Roata", 3, 0, 0),
        makeWorkload("Roata, greedy team, 50 ms", 3, 100, 50) };
    for (auto workload : workloads) {
        if (only.isSet() && only.getValue() != workload.m_name)
            continue;
        workload.m_seconds = seconds.getValue();
        const auto* name = workload.m_name.c_str();
        const auto measure
            = [&](SharePolicy policy) { return simulateShares(workload, policy, seed.getValue(), delay.getValue()); };
        printRow(name, "escrow", measure(SharePolicy::Escrow));
        if (baselines.getValue())
            continue;
        printRow(name, "static split", measure(SharePolicy::StaticSplit));
        printRow(name, "first come", measure(SharePolicy::FirstComeFirstServed));
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    try {
        run(argc, argv);
        return 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "ShareBench: %s\n", error.what());
        return 1;
    }
}
