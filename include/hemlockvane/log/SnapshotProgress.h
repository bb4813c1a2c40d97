#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief Progress of the snapshot that is being written to the log, and the last complete one. Part of the folded
/// state.
struct SnapshotProgress {
    std::string m_snapshotName; ///< Snapshot being written; empty: none.
    std::uint32_t m_nextIndex = 0; ///< Of its next chunk.
    std::uint32_t m_count = 0; ///< Of its chunks.
    Offset m_endOffset = 0; ///< Next offset to fold after it.
    Offset m_startOffset = 0; ///< Offset of its first chunk, plus one.
    Offset m_completeStartOffset = 0; ///< Offset of the first chunk of the last complete snapshot, plus one; 0: none.
    Offset m_completeEndOffset = 0; ///< Next offset to fold after the last complete snapshot.
    WallMillis m_completeAtMs = 0; ///< Clock of the fold at the last chunk of the last complete snapshot.
};

} // namespace hemlockvane
