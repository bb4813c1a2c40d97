#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <string>

namespace hemlockvane {

/// @brief A fleet-wide default of a setting, or an exception for one scope.
struct ConfigurationItem {
    std::string m_value;
    std::string m_reason; ///< Why the exception was made; empty for a default.
    std::string m_author;
    WallMillis m_expiresAt = 0; ///< 0: never.
    Offset m_version = 0;
    bool m_removed = false; ///< A removed item is kept so that a change based on an older version is still rejected.
};

} // namespace hemlockvane
