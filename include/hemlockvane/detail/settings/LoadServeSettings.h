#pragma once

#include "hemlockvane/detail/settings/ServeSettings.h"
#include "hemlockvane/detail/settings/SettingsProblem.h"

#include <optional>
#include <string_view>
#include <vector>

namespace hemlockvane::detail {

/// @brief Reads and checks the settings file of an entry instance.
/// @param path path of the YAML file
/// @param problems receives every invalid, missing or unknown setting of the file, in the order of lines
/// @result empty when there is any problem
auto loadServeSettings(std::string_view path, std::vector<SettingsProblem>& problems) -> std::optional<ServeSettings>;

/// @brief Parses and checks settings given as YAML text.
/// @param problems receives every invalid, missing or unknown setting of the text, in the order of lines
/// @result empty when there is any problem
auto parseServeSettings(const std::string& text, std::vector<SettingsProblem>& problems)
    -> std::optional<ServeSettings>;

} // namespace hemlockvane::detail
