#pragma once

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/log/OperationResult.h"
#include "hemlockvane/log/SnapshotLimits.h"
#include "hemlockvane/log/SnapshotWriter.h"

#include <optional>
#include <string>

namespace hemlockvane::wire {
class Operation;
} // namespace hemlockvane::wire

namespace hemlockvane {

/// @brief Serialises the state for the log; the state must not be halted.
/// @param name unique over all snapshots, for example the instance id and a count
/// @complexity linear in the state
auto beginSnapshot(const FleetState& state, std::string name, const SnapshotLimits& limits) -> SnapshotWriter;

/// @brief The chunk to append now; the next one follows when this one's outcome is known.
auto currentChunk(const SnapshotWriter& writer) -> wire::Operation;

/// @brief Number of chunks.
auto chunkCount(const SnapshotWriter& writer) -> std::uint32_t;

/// @brief Takes a chunk's outcome.
/// @result true: append the next chunk, or done when isComplete; false: give this snapshot up and begin another later
auto onChunkOutcome(SnapshotWriter& writer, const OperationResult& result) -> bool;

/// @brief True when every chunk was accepted.
auto isComplete(const SnapshotWriter& writer) -> bool;

} // namespace hemlockvane
