#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <cstddef>

namespace hemlockvane {

/// @brief When a snapshot is written and into how large chunks it is cut.
struct SnapshotLimits {
    Offset m_everyRecords = 20000; ///< Bounds the tail that a new instance folds.
    WallMillis m_everyMs = 3600LL * 1000; ///< To be well below the log's retention.
    std::size_t m_chunkBytes = 200000; ///< Below the largest record that the log takes.
};

} // namespace hemlockvane
