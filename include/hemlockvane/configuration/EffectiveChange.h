#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief A value that a change would replace.
struct EffectiveChange {
    std::string m_setting;
    std::string m_scope; ///< Empty: everywhere without an exception.
    std::int64_t m_before = 0;
    std::int64_t m_after = 0;
};

} // namespace hemlockvane
