#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief Which snapshot is being written to the log, and which was completed last. Part of the folded state.
struct SnapshotProgress {
    std::string m_snapshotName; ///< Being written; empty: none.
    std::uint32_t m_nextIndex = 0;
    std::uint32_t m_count = 0;
    Offset m_endOffset = 0; ///< Next offset to fold after the snapshot being written.
    Offset m_startedAt = 0; ///< Offset of its first chunk.
    Offset m_completeStartOffset = 0; ///< Offset of the first chunk of the last complete snapshot, plus one; 0: none.
    Offset m_completeEndOffset = 0; ///< Next offset to fold after it.
    WallMillis m_completeAtMs = 0; ///< Folded clock at its last chunk.
};

} // namespace hemlockvane
