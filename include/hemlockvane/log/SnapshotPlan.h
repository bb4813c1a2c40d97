#pragma once

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/log/SnapshotLimits.h"
#include "hemlockvane/log/SnapshotNeed.h"

namespace hemlockvane {

/// @brief Decides whether a new snapshot is to be written.
/// @param oldestOffset offset of the oldest record that the log keeps
/// @param now wall clock
auto snapshotNeed(const FleetState& state, const SnapshotLimits& limits, Offset oldestOffset, WallMillis now)
    -> SnapshotNeed;

/// @brief True when two entries have folded up to the same offset but have different states. Both must then fold the
/// log anew.
/// @param ownEnd, peerEnd next offset that each of them folds
/// @param ownHash, peerHash chain hash of each state; 0: not known
auto hasDiverged(Offset ownEnd, std::uint64_t ownHash, Offset peerEnd, std::uint64_t peerHash) -> bool;

} // namespace hemlockvane
