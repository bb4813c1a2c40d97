#include "ShareMeter.h"

#include "hemlockvane/shares.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hemlockvane::bench {

namespace {

constexpr int samplesPerSecond = 1000;

auto distance(double got, double entitled) -> double { return std::abs(got - entitled) / entitled; }

auto endSecond(ShareMeter& meter) -> void
{
    std::vector<Demand> demands;
    for (std::size_t t = 0; t < meter.m_weights.size(); ++t)
        demands.push_back({ meter.m_weights[t], meter.m_work[t] });
    const auto entitled = fairShares(demands, meter.m_capacity * samplesPerSecond);
    for (std::size_t t = 0; t < meter.m_got.size(); ++t) {
        if (meter.m_full && entitled[t] >= samplesPerSecond)
            meter.m_distances.push_back(distance(meter.m_got[t], entitled[t]));
        if (meter.m_full && meter.m_sampled[t] >= samplesPerSecond)
            meter.m_sampledDistances.push_back(distance(meter.m_got[t], meter.m_sampled[t]));
        meter.m_got[t] = 0;
        meter.m_work[t] = 0;
        meter.m_sampled[t] = 0;
    }
    meter.m_full = true;
    meter.m_samples = 0;
}

} // namespace

auto sample(ShareMeter& meter, std::span<const int> running, std::span<const int> waiting, std::span<const int> started)
    -> bool
{
    const auto teams = meter.m_weights.size();
    meter.m_got.resize(teams);
    meter.m_work.resize(teams);
    meter.m_sampled.resize(teams);
    meter.m_unservedMs.resize(teams);
    std::vector<Demand> demands;
    auto wanted = 0.0;
    for (std::size_t t = 0; t < teams; ++t) {
        demands.push_back({ meter.m_weights[t], static_cast<double>(running[t] + waiting[t]) });
        wanted += demands.back().m_demand;
        const auto unserved = waiting[t] > 0 && started[t] == 0;
        meter.m_unservedMs[t] = unserved ? meter.m_unservedMs[t] + 1 : 0;
        meter.m_longestUnservedMs = std::max(meter.m_longestUnservedMs, meter.m_unservedMs[t]);
    }
    const auto shares = fairShares(demands, meter.m_capacity);
    for (std::size_t t = 0; t < teams; ++t) {
        meter.m_got[t] += running[t];
        meter.m_sampled[t] += shares[t];
    }
    if (std::accumulate(waiting.begin(), waiting.end(), 0) > 0) {
        meter.m_busy += std::accumulate(running.begin(), running.end(), 0);
        meter.m_busyPossible += std::min(meter.m_capacity, wanted);
    }
    meter.m_full = meter.m_full && wanted >= meter.m_capacity;
    if (++meter.m_samples < samplesPerSecond)
        return false;
    endSecond(meter);
    return true;
}

auto leftOfSecond(const ShareMeter& meter) -> int { return samplesPerSecond - meter.m_samples; }

auto addWork(ShareMeter& meter, int team, int runMs) -> void
{
    meter.m_work.resize(meter.m_weights.size());
    meter.m_work[static_cast<std::size_t>(team)] += std::min(runMs, leftOfSecond(meter));
}

} // namespace hemlockvane::bench
