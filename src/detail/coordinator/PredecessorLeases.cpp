#include "hemlockvane/detail/coordinator/PredecessorLeases.h"

namespace hemlockvane::detail {

namespace {

constexpr Duration callSlack { 500 }; // For calls on their way and tasks that take a moment to end.
constexpr int slowestClockPart = 50; // Executors' clocks may be a fiftieth slow.

auto withSlack(Duration lease) -> Duration { return lease + lease / slowestClockPart + callSlack; }

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
    // Leases of owners before the one that released have lapsed only if it held the work for long enough.
    const auto heldLong = leases.m_lastRecordReadAt - leases.m_epochFirstReadAt >= withSlack(leases.m_longest);
    return leases.m_lastRecordReadAt + withSlack(leases.m_isReleased && heldLong ? leases.m_lease : leases.m_longest);
}

} // namespace hemlockvane::detail
