#pragma once

#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/log/FoldContext.h"

#include <optional>

namespace hemlockvane::wire {
class SnapshotChunk;
} // namespace hemlockvane::wire

namespace hemlockvane {

struct FleetState;

/// @brief Counts a chunk of a snapshot; its payload is not looked at.
///
/// Chunks come in order, and a first chunk gives up a snapshot that was being written: of two racing writers at most
/// one completes.
/// @param reason receives Conflict for a chunk that does not continue the snapshot being written
/// @result the offset at which it was accepted, empty when rejected
auto apply(FleetState& state, const wire::SnapshotChunk& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;

} // namespace hemlockvane
