#include "hemlockvane/shares/FairShares.h"

#include <algorithm>
#include <numeric>

namespace hemlockvane {

namespace {

// Absorbs floating-point errors of sums that should be whole numbers.
constexpr double roundingTolerance = 1e-6;

} // namespace

auto fairShares(std::span<const Demand> demands, double capacity) -> std::vector<double>
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::sort(order.begin(), order.end(), [&](auto left, auto right) {
        return demands[left].m_demand * demands[right].m_weight < demands[right].m_demand * demands[left].m_weight;
    });
    auto weightLeft = 0.0;
    for (const auto& demand : demands)
        weightLeft += demand.m_weight;
    std::vector<double> shares(demands.size(), 0);
    for (const auto i : order) {
        const auto byWeight = capacity * demands[i].m_weight / weightLeft;
        shares[i] = std::max(0.0, std::min(demands[i].m_demand, byWeight));
        capacity -= shares[i];
        weightLeft -= demands[i].m_weight;
    }
    return shares;
}

auto apportion(std::span<const double> shares, std::span<const double> credits) -> std::vector<std::uint32_t>
{
    std::vector<std::uint32_t> units(shares.size());
    std::vector<std::size_t> fractional;
    auto remainder = 0.0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        units[i] = static_cast<std::uint32_t>(shares[i] + roundingTolerance);
        const auto fraction = shares[i] - units[i];
        if (fraction <= roundingTolerance)
            continue;
        fractional.push_back(i);
        remainder += fraction;
    }
    const auto rank = [&](std::size_t i) { return shares[i] - units[i] + credits[i]; };
    std::stable_sort(
        fractional.begin(), fractional.end(), [&](auto left, auto right) { return rank(left) > rank(right); });
    const auto extra = std::min(fractional.size(), static_cast<std::size_t>(remainder + roundingTolerance));
    for (std::size_t i = 0; i < extra; ++i)
        ++units[fractional[i]];
    return units;
}

} // namespace hemlockvane
