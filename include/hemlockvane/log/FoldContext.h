#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <string_view>

namespace hemlockvane {

/// @brief Offset of a record in the platform's log.
///
/// Where it serves as a version or an epoch it is the record's offset plus one, so that 0 means none.
using Offset = std::uint64_t;

/// @brief Offset at which a change was accepted; doubles as version and epoch.
using AppliedOffset = Offset;

/// @brief What the fold knows about the record that it is applying.
struct FoldContext {
    Offset m_offset = 0; ///< Of the record, plus one.
    WallMillis m_stampedAt = 0; ///< Author's wall clock.
    std::string_view m_author; ///< Instance id of the entry that appended the record.
};

} // namespace hemlockvane
