#pragma once

#include "hemlockvane/detail/client/Refusal.h"

#include <boost/json/object.hpp>

#include <string>

namespace hemlockvane::app {

/// @brief Formats a JSON response for a terminal: single values as lines, lists of objects as tables.
auto formatAnswer(const boost::json::object& answer) -> std::string;

/// @brief Formats a refusal for a terminal: its kind, whether the request may have run, whether a retry may succeed,
/// and the reason.
auto formatRefusal(const detail::Refusal& refusal) -> std::string;

} // namespace hemlockvane::app
