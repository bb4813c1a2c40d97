#pragma once

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/log/SnapshotLimits.h"
#include "hemlockvane/log/SnapshotNeed.h"

namespace hemlockvane {

/// @brief Decides whether a snapshot is to be written.
/// @param oldestOffset oldest record that the log still keeps
/// @param now wall clock
auto snapshotNeed(const FleetState& state, const SnapshotLimits& limits, Offset oldestOffset, WallMillis now)
    -> SnapshotNeed;

/// @brief True when two entries that folded equally far differ, so that both have to fold the log anew.
/// @param ownHash, peerHash chain hashes at the ends; 0: not known
auto hasDiverged(Offset ownEnd, std::uint64_t ownHash, Offset peerEnd, std::uint64_t peerHash) -> bool;

} // namespace hemlockvane
