#pragma once

#include "hemlockvane/configuration/EffectiveValue.h"

#include <string>

namespace hemlockvane {

/// @brief Effective value of a setting for one scope.
struct EffectiveSetting {
    std::string m_setting;
    std::string m_scope; ///< Empty: every scope without an exception.
    std::string m_unit;
    EffectiveValue m_value;
};

} // namespace hemlockvane
