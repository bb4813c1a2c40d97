#pragma once

#include "hemlockvane/detail/settings/ServeSettings.h"
#include "hemlockvane/detail/settings/SettingsProblem.h"

#include <optional>
#include <string_view>
#include <vector>

namespace hemlockvane::detail {

/// @brief Reads and checks the settings file of an entry instance.
/// @param path YAML file
/// @param problems receives every wrong, missing or unknown setting of the file, by line
/// @result empty when there is any problem
auto loadServeSettings(std::string_view path, std::vector<SettingsProblem>& problems) -> std::optional<ServeSettings>;

/// @brief Checks settings given as YAML text.
/// @param problems receives every wrong, missing or unknown setting of the text, by line
/// @result empty when there is any problem
auto parseServeSettings(const std::string& text, std::vector<SettingsProblem>& problems)
    -> std::optional<ServeSettings>;

} // namespace hemlockvane::detail
