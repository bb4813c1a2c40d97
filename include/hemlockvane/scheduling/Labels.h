#pragma once

#include <span>
#include <string>
#include <string_view>

namespace hemlockvane::scheduling {

/// @brief Whether an executor or machine with these labels has the one required; all have an empty one.
[[nodiscard]] auto hasLabel(std::span<const std::string> labels, std::string_view required) -> bool;

} // namespace hemlockvane::scheduling
