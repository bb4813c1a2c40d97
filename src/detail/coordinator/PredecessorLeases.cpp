#include "hemlockvane/detail/coordinator/PredecessorLeases.h"

#include "hemlockvane/scheduling/ExecutorClock.h"

namespace hemlockvane::detail {

namespace {

constexpr Duration callMargin { 500 }; // For calls in transit and for tasks that take a moment to end.

auto withMargin(Duration lease) -> Duration { return scheduling::longestTimeOf(lease) + callMargin; }

} // namespace

auto observeOwnerRecord(PredecessorLeases& leases, std::uint64_t epoch, bool isReleased, Instant now) -> void
{
    if (epoch != leases.m_epoch)
        leases.m_epochFirstReadAt = now;
    leases.m_epoch = epoch;
    leases.m_lastRecordReadAt = now;
    leases.m_isReleased = isReleased;
}

auto leasesExpireBy(const PredecessorLeases& leases) -> Instant
{
    if (leases.m_epoch == 0)
        return {};
    // Leases of the owners before the one that released have expired only if that one owned the work for long enough.
    const auto heldLongEnough = leases.m_lastRecordReadAt - leases.m_epochFirstReadAt >= withMargin(leases.m_longest);
    return leases.m_lastRecordReadAt
        + withMargin(leases.m_isReleased && heldLongEnough ? leases.m_lease : leases.m_longest);
}

} // namespace hemlockvane::detail
