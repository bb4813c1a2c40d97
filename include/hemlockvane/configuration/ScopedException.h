#pragma once

#include "hemlockvane/configuration/ConfigurationItem.h"

#include <string>

namespace hemlockvane {

/// @brief One exception, for the next shift to read.
struct ScopedException {
    std::string m_setting;
    std::string m_scope;
    ConfigurationItem m_item;
};

} // namespace hemlockvane
