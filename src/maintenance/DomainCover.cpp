#include "hemlockvane/maintenance/DomainCover.h"

#include <algorithm>

namespace hemlockvane {

auto worstCase(const DomainCover& cover) -> std::int64_t
{
    auto worst = cover.m_taken;
    for (const auto& [domain, count] : cover.m_domains)
        worst = std::max(worst, cover.m_taken - count.m_taken + count.m_size);
    return worst;
}

auto mayTake(const DomainCover& cover, std::string_view domain) -> bool
{
    if (cover.m_taken + 1 > cover.m_allowed)
        return false;
    for (const auto& [other, count] : cover.m_domains) {
        const auto added = other == domain ? 0 : 1;
        if (cover.m_taken - count.m_taken + count.m_size + added > cover.m_allowed)
            return false;
    }
    return true;
}

auto take(DomainCover& cover, std::string_view domain) -> void
{
    ++cover.m_taken;
    const auto found = cover.m_domains.find(domain);
    if (found != cover.m_domains.end())
        ++found->second.m_taken;
}

} // namespace hemlockvane
