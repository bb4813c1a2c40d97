#include "hemlockvane/detail/coordinator/SeenRenewals.h"

#include <algorithm>

namespace hemlockvane::detail {

namespace {

constexpr Duration keptFor { 20000 }; // Well beyond the distance between two owners' orders.

} // namespace

auto noteRenewal(SeenRenewals& renewals, std::uint64_t offset, Instant now) -> void
{
    renewals.m_seen.emplace_back(offset, now);
    while (renewals.m_seen.front().second + keptFor < now)
        renewals.m_seen.pop_front();
}

auto writtenBy(const SeenRenewals& renewals, std::uint64_t offset, Instant now) -> Instant
{
    const auto found = std::find_if(
        renewals.m_seen.begin(), renewals.m_seen.end(), [&](const auto& seen) { return seen.first >= offset; });
    return found == renewals.m_seen.end() ? now : found->second;
}

} // namespace hemlockvane::detail
