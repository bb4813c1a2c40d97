#include "hemlockvane/log/ReadSnapshot.h"

#include "hemlockvane/log/Snapshot.h"

#include "hemlockvane/records.pb.h"

namespace hemlockvane {

namespace {

auto discard(SnapshotReader& reader) -> void
{
    reader.m_snapshotName.clear();
    reader.m_bytes.clear();
    reader.m_nextIndex = 0;
}

auto scanChunk(SnapshotReader& reader, const wire::SnapshotChunk& chunk) -> void
{
    if (chunk.index() == 0 && reader.m_seenSnapshots.insert(chunk.snapshot()).second) {
        discard(reader);
        reader.m_snapshotName = chunk.snapshot();
    }
    // A chunk with a lower index was appended twice and is ignored. A skipped chunk makes the snapshot unusable.
    if (reader.m_snapshotName != chunk.snapshot() || chunk.index() < reader.m_nextIndex)
        return;
    if (chunk.index() > reader.m_nextIndex) {
        discard(reader);
        return;
    }
    reader.m_bytes += chunk.payload();
    ++reader.m_nextIndex;
    if (reader.m_nextIndex < chunk.count())
        return;
    if (hashBytes(reader.m_bytes) == chunk.hash() && chunk.through() >= reader.m_completeEndOffset) {
        reader.m_completeBytes = std::move(reader.m_bytes);
        reader.m_completeEndOffset = chunk.through();
    }
    discard(reader);
}

} // namespace

auto scanRecord(SnapshotReader& reader, std::string_view record) -> void
{
    wire::Group group;
    if (!group.ParseFromArray(record.data(), static_cast<int>(record.size())))
        return;
    for (const auto& operation : group.operations())
        if (operation.has_snapshot_chunk())
            scanChunk(reader, operation.snapshot_chunk());
}

auto finishScan(const SnapshotReader& reader, FailureReason& reason) -> std::optional<FleetState>
{
    if (reader.m_completeBytes.empty())
        return fail(reason, ErrorKind::NotFound, "the log holds no complete snapshot");
    auto state = loadSnapshot(reader.m_completeBytes, reason);
    if (state && state->m_nextOffset != reader.m_completeEndOffset)
        return fail(
            reason, ErrorKind::BadRequest, "the offset of the loaded snapshot differs from the one in its chunks");
    return state;
}

} // namespace hemlockvane
