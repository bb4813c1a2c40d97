#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <string_view>

namespace hemlockvane {

/// @brief Offset of a record in the platform's log.
///
/// A version or an epoch is the offset of its record plus one, so that 0 means none.
using Offset = std::uint64_t;

/// @brief Offset plus one of the record that changed the state; also used as version and epoch.
using AppliedOffset = Offset;

/// @brief Data of the record that is being folded.
struct FoldContext {
    Offset m_offset = 0; ///< Offset of the record plus one.
    WallMillis m_stampedAt = 0; ///< Wall clock of the author when it built the record.
    std::string_view m_author; ///< Instance id of the entry that appended the record.
};

} // namespace hemlockvane
