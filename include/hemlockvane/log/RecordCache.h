#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <cstddef>
#include <deque>
#include <string>

namespace hemlockvane {

/// @brief The latest folded records, kept in memory for peers that cannot read the log.
struct RecordCache {
    std::size_t m_maximumBytes = 4UL * 1024 * 1024;
    std::deque<std::string> m_records;
    Offset m_firstOffset = 0; ///< Offset of the oldest cached record.
    std::size_t m_bytes = 0; ///< Of all cached records.
};

} // namespace hemlockvane
