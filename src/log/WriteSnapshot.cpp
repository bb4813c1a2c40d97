#include "hemlockvane/log/WriteSnapshot.h"

#include "hemlockvane/log/Snapshot.h"

#include "hemlockvane/records.pb.h"

namespace hemlockvane {

namespace {

auto chunkId(const SnapshotWriter& writer) -> std::string
{
    return writer.m_snapshotName + "/" + std::to_string(writer.m_nextIndex);
}

} // namespace

auto beginSnapshot(const FleetState& state, std::string name, const SnapshotLimits& limits) -> SnapshotWriter
{
    SnapshotWriter writer;
    writer.m_snapshotName = std::move(name);
    writer.m_bytes = saveSnapshot(state);
    writer.m_hash = hashBytes(writer.m_bytes);
    writer.m_endOffset = state.m_nextOffset;
    writer.m_chunkBytes = limits.m_chunkBytes;
    return writer;
}

auto currentChunk(const SnapshotWriter& writer) -> wire::Operation
{
    wire::Operation operation;
    operation.set_id(chunkId(writer));
    auto& chunk = *operation.mutable_snapshot_chunk();
    chunk.set_snapshot(writer.m_snapshotName);
    chunk.set_through(writer.m_endOffset);
    chunk.set_index(writer.m_nextIndex);
    chunk.set_count(chunkCount(writer));
    chunk.set_payload(writer.m_bytes.substr(writer.m_nextIndex * writer.m_chunkBytes, writer.m_chunkBytes));
    chunk.set_hash(writer.m_hash);
    return operation;
}

auto chunkCount(const SnapshotWriter& writer) -> std::uint32_t
{
    return static_cast<std::uint32_t>((writer.m_bytes.size() + writer.m_chunkBytes - 1) / writer.m_chunkBytes);
}

auto onChunkOutcome(SnapshotWriter& writer, const OperationResult& result) -> bool
{
    if (result.m_id != chunkId(writer))
        return true;
    if (result.m_error != ErrorKind::None)
        return false;
    ++writer.m_nextIndex;
    return true;
}

auto isComplete(const SnapshotWriter& writer) -> bool { return writer.m_nextIndex == chunkCount(writer); }

} // namespace hemlockvane
