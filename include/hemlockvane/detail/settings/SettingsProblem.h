#pragma once

#include <cstddef>
#include <string>

namespace hemlockvane::detail {

/// @brief An invalid, missing or unknown setting.
struct SettingsProblem {
    std::size_t m_line = 0; ///< Line number, from 1; 0 when the problem concerns the whole file.
    std::string m_setting; ///< Full name, for example "traffic.listen".
    std::string m_found; ///< Value in the file; empty when the setting is missing.
    std::string m_expected; ///< Description of the values that are accepted.
};

/// @brief Formats the problem as one line: "FILE:LINE: SETTING: found ..., expected ...".
auto describe(const SettingsProblem& problem, const std::string& file) -> std::string;

} // namespace hemlockvane::detail
