#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief A snapshot on its way into the log, one chunk at a time.
struct SnapshotWriter {
    std::string m_snapshotName; ///< Its unique name; the chunks' operation ids begin with it.
    std::string m_bytes;
    std::uint64_t m_hash = 0;
    Offset m_endOffset = 0; ///< Next offset to fold after it.
    std::size_t m_chunkBytes = 0;
    std::uint32_t m_nextIndex = 0;
};

} // namespace hemlockvane
