#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <string>

namespace hemlockvane {

/// @brief One line of the configuration's history.
struct ConfigurationChange {
    Offset m_version = 0;
    std::string m_summary;
    std::string m_author;
    WallMillis m_stampedAt = 0;
};

} // namespace hemlockvane
