#pragma once

#include "StandinAnswer.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane::standins {

/// @brief Reads a JSON object; empty when the text is none. An empty text is an empty object.
auto parseObject(std::string_view text) -> std::optional<boost::json::object>;

/// @brief Member of an object as a number; `fallback` when it is missing or no number.
auto numberOf(const boost::json::object& object, std::string_view name, std::int64_t fallback = 0) -> std::int64_t;

/// @brief Member of an object as text; empty when it is missing or no text.
auto textOf(const boost::json::object& object, std::string_view name) -> std::string;

/// @brief Member of an object as a flag; `fallback` when it is missing or no flag.
auto flagOf(const boost::json::object& object, std::string_view name, bool fallback) -> bool;

/// @brief Number in a target's query; `fallback` when it is missing.
auto queryNumber(std::string_view target, std::string_view name, std::uint64_t fallback) -> std::uint64_t;

/// @brief The target without its query.
auto pathOf(std::string_view target) -> std::string_view;

/// @brief An answer with a JSON body.
auto jsonAnswer(unsigned status, const boost::json::object& body) -> StandinAnswer;

/// @brief A refusal with a text for people.
auto refusal(unsigned status, std::string_view text) -> StandinAnswer;

} // namespace hemlockvane::standins
