#pragma once

#include "hemlockvane/configuration/ConfigurationChange.h"
#include "hemlockvane/configuration/ConfigurationItem.h"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace hemlockvane {

/// @brief Number of latest changes kept in the history.
inline constexpr std::size_t maximumHistory = 1000;

/// @brief Defaults, exceptions and the history of changes, as folded from the log.
struct ConfigurationState {
    Offset m_version = 0; ///< Version of the last accepted change; 0: none.
    std::map<std::string, ConfigurationItem, std::less<>> m_defaults; ///< By setting.
    std::map<std::pair<std::string, std::string>, ConfigurationItem> m_exceptions; ///< By setting and scope.
    std::deque<ConfigurationChange> m_history; ///< Oldest first.
};

} // namespace hemlockvane
