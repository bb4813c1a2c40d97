#include "hemlockvane/placement/TeamShares.h"

#include <algorithm>
#include <vector>

namespace hemlockvane {

auto computeMaxMinShares(std::span<TeamEntitlement> teams, std::int64_t capacity) -> void
{
    std::vector<TeamEntitlement*> order;
    std::int64_t weights = 0;
    for (auto& team : teams) {
        order.push_back(&team);
        weights += team.m_weight;
    }
    // The team with the lowest demand/weight is served first; the remaining teams divide what is left.
    std::sort(order.begin(), order.end(),
        [](const auto* a, const auto* b) { return a->m_demand * b->m_weight < b->m_demand * a->m_weight; });
    auto left = capacity;
    for (auto* team : order) {
        team->m_entitled = std::min(team->m_demand, left * team->m_weight / weights);
        left -= team->m_entitled;
        weights -= team->m_weight;
    }
}

} // namespace hemlockvane
