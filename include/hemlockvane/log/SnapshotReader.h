#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <cstdint>
#include <set>
#include <string>

namespace hemlockvane {

/// @brief Assembles the newest complete snapshot out of the log's records.
struct SnapshotReader {
    std::string m_snapshotName; ///< Being assembled; empty: none.
    std::string m_bytes;
    std::uint32_t m_nextIndex = 0;
    std::set<std::string, std::less<>>
        m_seenSnapshots; ///< Snapshots met so far; a repeated first chunk begins none anew.
    std::string m_completeBytes; ///< Newest complete one whose hash is right; empty: none.
    Offset m_completeEndOffset = 0; ///< Next offset to fold after it.
};

} // namespace hemlockvane
