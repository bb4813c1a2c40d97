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

/// @brief Serialises the state to write it to the log. The fold must not be halted.
/// @param name unique among all snapshots, for example an instance id and a counter
/// @complexity linear in the state
auto beginSnapshot(const FleetState& state, std::string name, const SnapshotLimits& limits) -> SnapshotWriter;

/// @brief The chunk to append now. The next chunk is due after onChunkOutcome for this one.
auto currentChunk(const SnapshotWriter& writer) -> wire::Operation;

/// @brief Number of chunks.
auto chunkCount(const SnapshotWriter& writer) -> std::uint32_t;

/// @brief Processes the outcome of a chunk.
/// @result false when the chunk was rejected and the snapshot must be abandoned
auto onChunkOutcome(SnapshotWriter& writer, const OperationResult& result) -> bool;

/// @brief True when every chunk was accepted.
auto isComplete(const SnapshotWriter& writer) -> bool;

} // namespace hemlockvane
