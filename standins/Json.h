#pragma once

#include "StandinAnswer.h"

#include "hemlockvane/detail/text/JsonFields.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string_view>

namespace hemlockvane::standins {

using detail::flagOf;
using detail::numberOf;
using detail::parseObject;
using detail::textOf;

/// @brief Numeric query parameter of a request target; `fallback` when it is missing or malformed.
auto queryNumber(std::string_view target, std::string_view name, std::uint64_t fallback) -> std::uint64_t;

/// @brief Path of a request target, without the query.
auto pathOf(std::string_view target) -> std::string_view;

/// @brief Makes a response with a JSON body.
auto jsonAnswer(unsigned status, const boost::json::object& body) -> StandinAnswer;

/// @brief Makes an error response with a readable text.
auto refusal(unsigned status, std::string_view text) -> StandinAnswer;

} // namespace hemlockvane::standins
