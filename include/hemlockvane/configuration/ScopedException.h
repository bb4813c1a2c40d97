#pragma once

#include "hemlockvane/configuration/ConfigurationItem.h"

#include <string>

namespace hemlockvane {

/// @brief An exception to a setting together with its setting and scope.
struct ScopedException {
    std::string m_setting;
    std::string m_scope;
    ConfigurationItem m_item;
};

} // namespace hemlockvane
