#pragma once

#include <boost/json/object.hpp>
#include <boost/json/storage_ptr.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane::detail {

/// @brief Parses a JSON object. An empty text is parsed as an empty object.
/// @param storage memory of the object
/// @result empty when the text is not a JSON object
auto parseObject(std::string_view text, boost::json::storage_ptr storage = {}) -> std::optional<boost::json::object>;

/// @brief Member of an object as a string; empty when it is missing or not a string.
auto textOf(const boost::json::object& object, std::string_view name) -> std::string;

/// @brief Member of an object as an integer; `fallback` when it is missing or not an integer.
auto numberOf(const boost::json::object& object, std::string_view name, std::int64_t fallback = 0) -> std::int64_t;

/// @brief Member of an object as a boolean; `fallback` when it is missing or not a boolean.
auto flagOf(const boost::json::object& object, std::string_view name, bool fallback = false) -> bool;

/// @brief Member of an object as a list of strings; elements that are not strings are ignored.
auto textsOf(const boost::json::object& object, std::string_view name) -> std::vector<std::string>;

/// @brief Appends a string in the form of a JSON string, with its quotes.
auto appendQuoted(std::string_view text, std::string& json) -> void;

/// @brief Path segments of a request target, percent-decoded. The query and empty segments are ignored.
auto pathSegments(std::string_view target) -> std::vector<std::string>;

} // namespace hemlockvane::detail
