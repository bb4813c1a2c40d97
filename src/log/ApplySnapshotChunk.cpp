#include "hemlockvane/log/ApplySnapshotChunk.h"

#include "hemlockvane/log/FleetState.h"

#include "hemlockvane/records.pb.h"

namespace hemlockvane {

namespace {

auto begin(SnapshotProgress& progress, const wire::SnapshotChunk& chunk, const FoldContext& context) -> void
{
    progress.m_snapshotName = chunk.snapshot();
    progress.m_nextIndex = 0;
    progress.m_count = chunk.count();
    progress.m_endOffset = chunk.through();
    progress.m_startOffset = context.m_offset;
}

auto complete(SnapshotProgress& progress, WallMillis clock) -> void
{
    progress.m_completeStartOffset = progress.m_startOffset;
    progress.m_completeEndOffset = progress.m_endOffset;
    progress.m_completeAtMs = clock;
    progress.m_snapshotName.clear();
    progress.m_nextIndex = 0;
    progress.m_count = 0;
}

} // namespace

auto apply(FleetState& state, const wire::SnapshotChunk& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    auto& progress = state.m_snapshots;
    if (change.snapshot().empty() || change.index() >= change.count())
        return fail(reason, ErrorKind::BadRequest, "a chunk needs a snapshot and an index below the count");
    if (change.through() < progress.m_completeEndOffset)
        return fail(reason, ErrorKind::Conflict, "a newer snapshot is complete");
    if (change.index() == 0)
        begin(progress, change, context);
    const auto continues = progress.m_snapshotName == change.snapshot() && progress.m_nextIndex == change.index()
        && progress.m_count == change.count() && progress.m_endOffset == change.through();
    if (!continues)
        return fail(reason, ErrorKind::Conflict, "another snapshot is being written");
    ++progress.m_nextIndex;
    if (progress.m_nextIndex == progress.m_count)
        complete(progress, state.m_clock);
    return context.m_offset;
}

} // namespace hemlockvane
