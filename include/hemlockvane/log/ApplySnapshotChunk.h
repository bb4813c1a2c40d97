#pragma once

#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/log/FoldContext.h"

#include <optional>

namespace hemlockvane::wire {
class SnapshotChunk;
} // namespace hemlockvane::wire

namespace hemlockvane {

struct FleetState;

/// @brief Records the progress of a snapshot by one chunk; the payload is not read.
///
/// Chunks must be appended in order. A first chunk replaces a snapshot that is still being written, so that at most one
/// of two concurrent writers completes.
/// @param reason receives Conflict for a chunk that does not continue the snapshot being written
/// @result the record's offset plus one, empty if the record was rejected
auto apply(FleetState& state, const wire::SnapshotChunk& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;

} // namespace hemlockvane
