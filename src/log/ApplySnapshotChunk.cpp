#include "hemlockvane/log/ApplySnapshotChunk.h"

#include "hemlockvane/log/FleetState.h"

#include "hemlockvane/records.pb.h"

namespace hemlockvane {

namespace {

auto begin(SnapshotProgress& progress, const wire::SnapshotChunk& chunk, const FoldContext& context) -> void
{
    progress.m_snapshot = chunk.snapshot();
    progress.m_nextIndex = 0;
    progress.m_count = chunk.count();
    progress.m_through = chunk.through();
    progress.m_startedAt = context.m_offset;
}

auto complete(SnapshotProgress& progress, WallMillis clock) -> void
{
    progress.m_completeFrom = progress.m_startedAt;
    progress.m_completeThrough = progress.m_through;
    progress.m_completeAtMs = clock;
    progress.m_snapshot.clear();
    progress.m_nextIndex = 0;
    progress.m_count = 0;
}

} // namespace

auto apply(FleetState& state, const wire::SnapshotChunk& change, const FoldContext& context, LastReason& reason)
    -> std::optional<Applied>
{
    auto& progress = state.m_snapshots;
    if (change.snapshot().empty() || change.index() >= change.count())
        return fail(reason, ErrorKind::BadRequest, "a chunk needs a snapshot and an index below the count");
    if (change.through() < progress.m_completeThrough)
        return fail(reason, ErrorKind::Conflict, "a newer snapshot is complete");
    if (change.index() == 0)
        begin(progress, change, context);
    const auto continues = progress.m_snapshot == change.snapshot() && progress.m_nextIndex == change.index()
        && progress.m_count == change.count() && progress.m_through == change.through();
    if (!continues)
        return fail(reason, ErrorKind::Conflict, "another snapshot is being written");
    ++progress.m_nextIndex;
    if (progress.m_nextIndex == progress.m_count)
        complete(progress, state.m_clock);
    return context.m_offset;
}

} // namespace hemlockvane
