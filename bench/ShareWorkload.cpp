#include "ShareWorkload.h"

#include <algorithm>
#include <cmath>

namespace hemlockvane::bench {

namespace {

constexpr double spikeFactor = 5;
constexpr double dropFactor = 0.05;
constexpr double meanLoad = 0.6; // Fraction of a service's slots.

} // namespace

auto loadFactor(const ShareWorkload& workload, int service, int nowMs) -> double
{
    const auto spikingService = nowMs / workload.m_phaseMs / 2 % workload.m_services;
    if (spikingService != service)
        return 1;
    return nowMs / workload.m_phaseMs % 2 == 0 ? spikeFactor : dropFactor;
}

auto makeWorkload(const std::string& name, int zones, double greedyFactor, double greedyRunMs) -> ShareWorkload
{
    ShareWorkload workload;
    workload.m_name = name;
    workload.m_zones = zones;
    const std::vector<double> weights { 4, 2, 2, 1, 1, 1 };
    const std::vector<double> loads { 0.25, 0.2, 0.15, 0.15, 0.15, 0.1 }; // Fractions of the mean load.
    const std::vector<double> runs { 10, 20, 50, 200, 500, 1000 };
    const auto slots = static_cast<double>(workload.m_slots) * workload.m_executors;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        WorkloadTeam team { "team" + std::to_string(i), weights[i], meanLoad * loads[i] * slots, runs[i], {} };
        auto sum = 0.0;
        for (int e = 0; e < workload.m_entries; ++e) {
            const auto rank = (e + 2 * static_cast<int>(i)) % workload.m_entries;
            team.m_entryFractions.push_back(std::pow(0.5, rank));
            sum += team.m_entryFractions.back();
        }
        for (auto& fraction : team.m_entryFractions)
            fraction /= sum;
        workload.m_teams.push_back(std::move(team));
    }
    if (greedyFactor > 0) {
        auto& greedy = workload.m_teams.back();
        greedy.m_meanRunMs = greedyRunMs;
        // 11 is the sum of the weights.
        greedy.m_meanSlots = greedyFactor * slots * weights.back() / 11;
    }
    return workload;
}

auto drawArrivals(const WorkloadTeam& team, int entry, double factor, std::mt19937_64& random) -> int
{
    const auto mean
        = factor * team.m_meanSlots / team.m_meanRunMs * team.m_entryFractions[static_cast<std::size_t>(entry)];
    return std::poisson_distribution<int>(mean)(random);
}

auto drawRunMs(const WorkloadTeam& team, std::mt19937_64& random) -> int
{
    const auto runMs = std::uniform_real_distribution<double>(0.5, 1.5)(random) * team.m_meanRunMs;
    return std::max(1, static_cast<int>(std::lround(runMs)));
}

} // namespace hemlockvane::bench
