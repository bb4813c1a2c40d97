#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <string>

namespace hemlockvane {

/// @brief One entry of the configuration history.
struct ConfigurationChange {
    Offset m_version = 0;
    std::string m_summary; ///< For operators, for example "default wave.width = 3".
    std::string m_author;
    WallMillis m_stampedAt = 0;
};

} // namespace hemlockvane
