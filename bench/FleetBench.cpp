#include "MoveSimulation.h"
#include "PlacementSimulation.h"
#include "RollOutSimulation.h"

#include <tclap/CmdLine.h>

#include <cstdio>

namespace hemlockvane::bench {

namespace {

constexpr std::uint32_t largeFleet = 1000;
constexpr std::int64_t smallBudget = 2;

const std::vector<FleetShape> shapes {
    { "Maraval", 50, 32, 128 * 1024, 6, 4 },
    { "Roata", 50, 64, 256 * 1024, 6, 3 },
    { "target", 3100, 32, 128 * 1024, 277, 14 },
};

auto nameOf(WaveFault fault) -> const char*
{
    return fault == WaveFault::None ? "none" : fault == WaveFault::Rack ? "rack" : "zone";
}

auto nameOf(FailureDomainLevel cover) -> const char*
{
    return cover == FailureDomainLevel::None ? "none" : cover == FailureDomainLevel::Rack ? "rack" : "zone";
}

auto printRollOut(const FleetShape& shape, const RollOutSetting& setting, std::uint64_t seed) -> void
{
    const auto result = simulateRollOut(shape, setting, seed);
    std::printf("%-8s %6lld %-8s %-5s %8.2f %8.2f %6.2f %8.2f %6.2f %10u %7u %s\n", shape.m_name.c_str(),
        static_cast<long long>(setting.m_budget), setting.m_oneRackAtATime ? "one rack" : nameOf(setting.m_cover),
        nameOf(setting.m_fault), result.m_hours, result.m_lowerBoundHours, result.m_hours / result.m_lowerBoundHours,
        result.m_coveredBoundHours, result.m_hours / result.m_coveredBoundHours, result.m_violations,
        result.m_maxExcess, result.m_paused ? "paused" : "");
}

auto printRollOuts(std::uint64_t seed) -> void
{
    std::printf("roll-out: policy is the cover (wave.cover) or the baseline; hours, lower bound from the budgets, "
                "ratio, the same under "
                "the cover, budgets violated "
                "by choice, instances over a budget after the failure\n");
    std::printf("%-8s %6s %-8s %-5s %8s %8s %6s %8s %6s %10s %7s\n", "fleet", "budget", "policy", "fault", "hours",
        "bound", "ratio", "covered", "ratio", "violations", "excess");
    for (const auto& shape : shapes) {
        for (const auto budget : { smallBudget, smallBudget + 1 }) {
            for (const auto fault : { WaveFault::None, WaveFault::Rack, WaveFault::Zone }) {
                for (const auto cover :
                    { FailureDomainLevel::None, FailureDomainLevel::Rack, FailureDomainLevel::Zone })
                    printRollOut(shape, { cover, fault, false, budget, 0 }, seed);
                if (shape.m_workers < largeFleet || (fault == WaveFault::None && budget == smallBudget))
                    printRollOut(shape, { FailureDomainLevel::None, fault, true, budget, 0 }, seed);
            }
        }
    }
}

auto printMoves(std::uint64_t seed) -> void
{
    constexpr WallMillis millisPerSecond = 1000;
    std::printf(
        "moves in a day: hysteresis (short for, s) or the baseline; moves, lower bound, lasting demand without an "
        "instance (instance-hours)\n");
    std::printf("%-8s %-7s %-11s %6s %6s %8s\n", "fleet", "trace", "policy", "moves", "bound", "lacking");
    for (std::size_t i = 0; i < 2; ++i) {
        for (const auto trace : { DemandTrace::Calm, DemandTrace::Spikes, DemandTrace::Shift }) {
            const auto* name = trace == DemandTrace::Calm ? "calm" : trace == DemandTrace::Spikes ? "spikes" : "shift";
            for (const WallMillis delaySeconds : { 10, 30, 120, 600 }) {
                const auto result = simulateMoves(shapes[i], trace, false, delaySeconds * millisPerSecond, seed);
                std::printf("%-8s %-7s %-11lld %6u %6u %8.2f\n", shapes[i].m_name.c_str(), name,
                    static_cast<long long>(delaySeconds), result.m_moves, result.m_lowerBound, result.m_shortageHours);
            }
            const auto baseline = simulateMoves(shapes[i], trace, true, 0, seed);
            std::printf("%-8s %-7s %-11s %6u %6u %8.2f\n", shapes[i].m_name.c_str(), name, "every alarm",
                baseline.m_moves, baseline.m_lowerBound, baseline.m_shortageHours);
        }
    }
}

auto printBuffers() -> void
{
    std::printf("buffer in instances for one failed domain and a wave of 2; cost is buffer over used\n");
    std::printf("%-8s %-6s %6s %7s %7s %7s %7s %7s %7s\n", "fleet", "domain", "used", "shared", "bound", "ratio",
        "cost", "fixed", "cost");
    for (const auto& shape : shapes) {
        for (const auto coverZones : { false, true }) {
            const auto result = sizeBuffers(shape, coverZones, 2);
            const auto relativeCost
                = [&](std::int64_t count) { return static_cast<double>(count) / static_cast<double>(result.m_used); };
            std::printf("%-8s %-6s %6lld %7lld %7lld %7.2f %7.2f %7lld %7.2f\n", shape.m_name.c_str(),
                coverZones ? "zone" : "rack", static_cast<long long>(result.m_used),
                static_cast<long long>(result.m_shared), static_cast<long long>(result.m_lowerBound),
                static_cast<double>(result.m_shared) / static_cast<double>(result.m_lowerBound),
                relativeCost(result.m_shared), static_cast<long long>(result.m_perPool),
                relativeCost(result.m_perPool));
        }
    }
}

auto printPlacement(std::uint64_t seed) -> void
{
    std::printf("placement on a full fleet, 15 minutes: share distance (mean, largest), part of the cores really used, "
                "worker-seconds over-used, longest wait of an urgent job (s), urgent jobs started, mean plan (ms)\n");
    std::printf("%-8s %-10s %6s %7s %6s %7s %7s %6s %7s %8s %7s\n", "fleet", "run", "mean", "largest", "used", "over",
        "urgent", "jobs", "plan ms", "finished", "stopped");
    for (std::size_t i = 0; i < 2; ++i) {
        const std::vector<std::pair<const char*, PlacementSetting>> runs { { "calm", { false, false, false } },
            { "late team", { false, false, true } }, { "cancelled", { false, true, false } },
            { "first fit", { true, false, false } }, { "late, ff", { true, false, true } } };
        for (const auto& [name, setting] : runs) {
            const auto result = simulatePlacement(shapes[i], setting, seed);
            std::printf("%-8s %-10s %6.3f %7.3f %6.3f %7.4f %7.1f %6u %7.2f %8u %7u\n", shapes[i].m_name.c_str(), name,
                result.m_meanDistance, result.m_largestDistance, result.m_usedFraction, result.m_overusedFraction,
                result.m_longestUrgentWaitSeconds, result.m_urgentJobs, result.m_planMillis, result.m_finished,
                result.m_stopped);
        }
    }
}

auto printPlanTimes() -> void
{
    std::printf(
        "processor time of one plan (ms): placement with 4 running tasks a worker and 1000 waiting jobs; wave\n");
    std::printf("%8s %10s %8s\n", "workers", "placement", "wave");
    constexpr std::uint32_t waiting = 1000;
    for (const std::uint32_t workers : { 50, 500, 1000, 3100 })
        std::printf("%8u %10.2f %8.2f\n", workers, timePlacement(workers, waiting), timeWave(workers));
}

} // namespace

} // namespace hemlockvane::bench

auto main(int argc, char** argv) -> int
{
    try {
        TCLAP::CmdLine commandLine("Measures fleet planning in virtual time", ' ', "0.1.0");
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of every random draw", false, 1, "number", commandLine);
        TCLAP::ValueArg<std::string> section(
            "", "part", "rollout, moves, buffer, placement, slopes or all", false, "all", "name", commandLine);
        commandLine.parse(argc, argv);
        const auto isSelected
            = [&](const char* name) { return section.getValue() == name || section.getValue() == "all"; };
        if (isSelected("rollout"))
            hemlockvane::bench::printRollOuts(seed.getValue());
        if (isSelected("moves"))
            hemlockvane::bench::printMoves(seed.getValue());
        if (isSelected("buffer"))
            hemlockvane::bench::printBuffers();
        if (isSelected("placement"))
            hemlockvane::bench::printPlacement(seed.getValue());
        if (isSelected("slopes"))
            hemlockvane::bench::printPlanTimes();
    } catch (const TCLAP::ArgException& error) {
        std::fprintf(stderr, "fleet: %s\n", error.error().c_str());
        return 2;
    }
    return 0;
}
