#pragma once

#include <cstddef>
#include <string>

namespace hemlockvane::detail {

/// @brief One wrong, missing or unknown setting.
struct SettingsProblem {
    std::size_t m_line = 0; ///< First line is 1; 0 when the whole file is meant.
    std::string m_setting; ///< Full name, for example "traffic.listen".
    std::string m_found; ///< What the file says; empty when the setting is missing.
    std::string m_expected;
};

/// @brief The problem as one line for people: "FILE:LINE: SETTING: found ..., expected ...".
auto describe(const SettingsProblem& problem, const std::string& file) -> std::string;

} // namespace hemlockvane::detail
