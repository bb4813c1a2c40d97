#include "hemlockvane/maintenance/FailureDomainBudget.h"

#include <algorithm>

namespace hemlockvane {

auto worstCaseUnavailable(const FailureDomainBudget& cover) -> std::int64_t
{
    auto worst = cover.m_unavailable;
    for (const auto& [domain, count] : cover.m_domains)
        worst = std::max(worst, cover.m_unavailable - count.m_unavailable + count.m_size);
    return worst;
}

auto allowsDrain(const FailureDomainBudget& cover, std::string_view domain) -> bool
{
    if (cover.m_unavailable + 1 > cover.m_maxUnavailable)
        return false;
    for (const auto& [other, count] : cover.m_domains) {
        const auto added = other == domain ? 0 : 1;
        if (cover.m_unavailable - count.m_unavailable + count.m_size + added > cover.m_maxUnavailable)
            return false;
    }
    return true;
}

auto markUnavailable(FailureDomainBudget& cover, std::string_view domain) -> void
{
    ++cover.m_unavailable;
    const auto found = cover.m_domains.find(domain);
    if (found != cover.m_domains.end())
        ++found->second.m_unavailable;
}

} // namespace hemlockvane
