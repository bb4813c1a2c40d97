#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <cstdint>
#include <set>
#include <string>

namespace hemlockvane {

/// @brief State of assembling the newest complete snapshot from the records of the log.
struct SnapshotReader {
    std::string m_snapshotName; ///< Snapshot being assembled; empty: none.
    std::string m_bytes; ///< Payload of its chunks so far.
    std::uint32_t m_nextIndex = 0;
    std::set<std::string, std::less<>> m_seenSnapshots; ///< Snapshots whose first chunk was read; a repeat is ignored.
    std::string m_completeBytes; ///< Newest complete snapshot with a correct hash; empty: none.
    Offset m_completeEndOffset = 0; ///< Next offset to fold after the newest complete snapshot.
};

} // namespace hemlockvane
