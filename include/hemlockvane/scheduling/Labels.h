#pragma once

#include <span>
#include <string>
#include <string_view>

namespace hemlockvane::scheduling {

/// @brief Whether the labels of an executor or machine include the required one; an empty requirement always matches.
[[nodiscard]] auto hasLabel(std::span<const std::string> labels, std::string_view required) -> bool;

} // namespace hemlockvane::scheduling
