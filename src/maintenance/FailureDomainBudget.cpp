#include "hemlockvane/maintenance/FailureDomainBudget.h"

#include <algorithm>

namespace hemlockvane {

auto worstCaseUnavailable(const FailureDomainBudget& budget) -> std::int64_t
{
    auto worst = budget.m_unavailable;
    for (const auto& [domain, count] : budget.m_domains)
        worst = std::max(worst, budget.m_unavailable - count.m_unavailable + count.m_size);
    return worst;
}

auto allowsDrain(const FailureDomainBudget& budget, std::string_view domain) -> bool
{
    if (budget.m_unavailable + 1 > budget.m_maxUnavailable)
        return false;
    for (const auto& [other, count] : budget.m_domains) {
        const auto added = other == domain ? 0 : 1;
        if (budget.m_unavailable - count.m_unavailable + count.m_size + added > budget.m_maxUnavailable)
            return false;
    }
    return true;
}

auto markUnavailable(FailureDomainBudget& budget, std::string_view domain) -> void
{
    ++budget.m_unavailable;
    const auto found = budget.m_domains.find(domain);
    if (found != budget.m_domains.end())
        ++found->second.m_unavailable;
}

} // namespace hemlockvane
