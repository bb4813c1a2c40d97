#pragma once

#include "hemlockvane/configuration/EffectiveValue.h"

#include <string>

namespace hemlockvane {

/// @brief One line of the table of values in force.
struct EffectiveSetting {
    std::string m_setting;
    std::string m_scope; ///< Empty: everywhere without an exception.
    std::string m_unit;
    EffectiveValue m_value;
};

} // namespace hemlockvane
