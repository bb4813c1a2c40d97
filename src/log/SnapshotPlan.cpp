#include "hemlockvane/log/SnapshotPlan.h"

namespace hemlockvane {

auto snapshotNeed(const FleetState& state, const SnapshotLimits& limits, Offset oldestOffset, WallMillis now)
    -> SnapshotNeed
{
    const auto& progress = state.m_snapshots;
    const auto isTailIncomplete = progress.m_completeStartOffset == 0 || progress.m_completeEndOffset < oldestOffset;
    if (oldestOffset > 0 && isTailIncomplete)
        return SnapshotNeed::Overdue;
    if (state.m_nextOffset >= progress.m_completeEndOffset + limits.m_everyRecords)
        return SnapshotNeed::Due;
    const auto isOld = now >= progress.m_completeAtMs + limits.m_everyMs;
    return isOld && state.m_nextOffset > 0 ? SnapshotNeed::Due : SnapshotNeed::None;
}

auto hasDiverged(Offset ownEnd, std::uint64_t ownHash, Offset peerEnd, std::uint64_t peerHash) -> bool
{
    return ownEnd == peerEnd && ownHash != 0 && peerHash != 0 && ownHash != peerHash;
}

} // namespace hemlockvane
