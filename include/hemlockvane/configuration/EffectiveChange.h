#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief Effective value of a setting before and after a change.
struct EffectiveChange {
    std::string m_setting;
    std::string m_scope; ///< Empty: every scope without an exception.
    std::int64_t m_before = 0;
    std::int64_t m_after = 0;
};

} // namespace hemlockvane
