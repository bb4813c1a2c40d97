#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <string>

namespace hemlockvane {

/// @brief A fleet-wide default, or an exception for one scope.
struct ConfigurationItem {
    std::string m_value;
    std::string m_reason; ///< Why an exception exists; empty for a default.
    std::string m_author;
    WallMillis m_expiresAt = 0; ///< 0: never.
    Offset m_version = 0;
    bool m_removed = false; ///< Kept so that a change made from an older version still conflicts.
};

} // namespace hemlockvane
