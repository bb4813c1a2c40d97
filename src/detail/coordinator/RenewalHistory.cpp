#include "hemlockvane/detail/coordinator/RenewalHistory.h"

#include <algorithm>

namespace hemlockvane::detail {

namespace {

constexpr Duration retention { 20000 }; // Well beyond the minimum time between two owners' orders for a machine.

} // namespace

auto recordRenewal(RenewalHistory& renewals, std::uint64_t offset, Instant now) -> void
{
    renewals.m_readTimes.emplace_back(offset, now);
    while (renewals.m_readTimes.front().second + retention < now)
        renewals.m_readTimes.pop_front();
}

auto writtenBy(const RenewalHistory& renewals, std::uint64_t offset, Instant now) -> Instant
{
    const auto found = std::find_if(renewals.m_readTimes.begin(), renewals.m_readTimes.end(),
        [&](const auto& seen) { return seen.first >= offset; });
    return found == renewals.m_readTimes.end() ? now : found->second;
}

} // namespace hemlockvane::detail
