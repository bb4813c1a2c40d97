#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief State of writing a snapshot to the log, one chunk at a time.
struct SnapshotWriter {
    std::string m_snapshotName; ///< Unique; the operation ids of the chunks begin with it.
    std::string m_bytes; ///< The serialised state.
    std::uint64_t m_hash = 0; ///< Of all bytes.
    Offset m_endOffset = 0; ///< Next offset to fold after the snapshot.
    std::size_t m_chunkBytes = 0;
    std::uint32_t m_nextIndex = 0; ///< Of the chunk to append next.
};

} // namespace hemlockvane
