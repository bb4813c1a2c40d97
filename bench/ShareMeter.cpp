#include "ShareMeter.h"

#include "hemlockvane/shares.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hemlockvane::bench {

namespace {

constexpr int samplesPerSecond = 1000;

auto distance(double used, double entitled) -> double { return std::abs(used - entitled) / entitled; }

auto endSecond(ShareMeter& meter) -> void
{
    std::vector<Demand> teamDemands;
    for (std::size_t t = 0; t < meter.m_weights.size(); ++t)
        teamDemands.push_back({ meter.m_weights[t], meter.m_demandSlotMs[t] });
    const auto entitled = fairShares(teamDemands, meter.m_capacity * samplesPerSecond);
    for (std::size_t t = 0; t < meter.m_usedSlotMs.size(); ++t) {
        if (meter.m_isSaturated && entitled[t] >= samplesPerSecond)
            meter.m_distances.push_back(distance(meter.m_usedSlotMs[t], entitled[t]));
        if (meter.m_isSaturated && meter.m_sampledShareSlotMs[t] >= samplesPerSecond)
            meter.m_sampledDistances.push_back(distance(meter.m_usedSlotMs[t], meter.m_sampledShareSlotMs[t]));
        meter.m_usedSlotMs[t] = 0;
        meter.m_demandSlotMs[t] = 0;
        meter.m_sampledShareSlotMs[t] = 0;
    }
    meter.m_isSaturated = true;
    meter.m_samples = 0;
}

} // namespace

auto sample(ShareMeter& meter, std::span<const int> running, std::span<const int> waiting, std::span<const int> started)
    -> bool
{
    const auto teams = meter.m_weights.size();
    meter.m_usedSlotMs.resize(teams);
    meter.m_demandSlotMs.resize(teams);
    meter.m_sampledShareSlotMs.resize(teams);
    meter.m_unservedMs.resize(teams);
    std::vector<Demand> teamDemands;
    auto totalDemand = 0.0;
    for (std::size_t t = 0; t < teams; ++t) {
        teamDemands.push_back({ meter.m_weights[t], static_cast<double>(running[t] + waiting[t]) });
        totalDemand += teamDemands.back().m_demand;
        const auto isUnserved = waiting[t] > 0 && started[t] == 0;
        meter.m_unservedMs[t] = isUnserved ? meter.m_unservedMs[t] + 1 : 0;
        meter.m_longestUnservedMs = std::max(meter.m_longestUnservedMs, meter.m_unservedMs[t]);
    }
    const auto shares = fairShares(teamDemands, meter.m_capacity);
    for (std::size_t t = 0; t < teams; ++t) {
        meter.m_usedSlotMs[t] += running[t];
        meter.m_sampledShareSlotMs[t] += shares[t];
    }
    if (std::accumulate(waiting.begin(), waiting.end(), 0) > 0) {
        meter.m_busySlotMs += std::accumulate(running.begin(), running.end(), 0);
        meter.m_usableSlotMs += std::min(meter.m_capacity, totalDemand);
    }
    meter.m_isSaturated = meter.m_isSaturated && totalDemand >= meter.m_capacity;
    if (++meter.m_samples < samplesPerSecond)
        return false;
    endSecond(meter);
    return true;
}

auto remainingMsOfSecond(const ShareMeter& meter) -> int { return samplesPerSecond - meter.m_samples; }

auto addDemand(ShareMeter& meter, int team, int runMs) -> void
{
    meter.m_demandSlotMs.resize(meter.m_weights.size());
    meter.m_demandSlotMs[static_cast<std::size_t>(team)] += std::min(runMs, remainingMsOfSecond(meter));
}

} // namespace hemlockvane::bench
