#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <cstddef>

namespace hemlockvane {

/// @brief How often a snapshot is written and how large its chunks are.
struct SnapshotLimits {
    Offset m_everyRecords = 20000; ///< Limits how many records a new instance folds after loading.
    WallMillis m_everyMs = 3600LL * 1000; ///< Must be well below the retention time of the log.
    std::size_t m_chunkBytes = 200000; ///< Must be below the largest record that the log accepts.
};

} // namespace hemlockvane
