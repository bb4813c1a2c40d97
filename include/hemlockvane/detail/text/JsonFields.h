#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane::detail {

/// @brief Reads a JSON object; an empty text counts as an empty object.
/// @result empty when the text is no JSON object
auto parseObject(std::string_view text) -> std::optional<boost::json::object>;

/// @brief Member of an object as text; empty when it is missing or no text.
auto textOf(const boost::json::object& object, std::string_view name) -> std::string;

/// @brief Member of an object as a whole number; `fallback` when it is missing or no whole number.
auto numberOf(const boost::json::object& object, std::string_view name, std::int64_t fallback = 0) -> std::int64_t;

/// @brief Member of an object as a flag; `fallback` when it is missing or no flag.
auto flagOf(const boost::json::object& object, std::string_view name, bool fallback = false) -> bool;

/// @brief Member of an object as a list of texts; other elements are left out.
auto textsOf(const boost::json::object& object, std::string_view name) -> std::vector<std::string>;

/// @brief Segments of a target's path, its query left out and %XX decoded.
auto pathSegments(std::string_view target) -> std::vector<std::string>;

} // namespace hemlockvane::detail
