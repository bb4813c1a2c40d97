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

/// @brief Number in a target's query; `fallback` when it is missing.
auto queryNumber(std::string_view target, std::string_view name, std::uint64_t fallback) -> std::uint64_t;

/// @brief The target without its query.
auto pathOf(std::string_view target) -> std::string_view;

/// @brief An answer with a JSON body.
auto jsonAnswer(unsigned status, const boost::json::object& body) -> StandinAnswer;

/// @brief A refusal with a text for people.
auto refusal(unsigned status, std::string_view text) -> StandinAnswer;

} // namespace hemlockvane::standins
