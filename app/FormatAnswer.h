#pragma once

#include "hemlockvane/detail/client/Refusal.h"

#include <boost/json/object.hpp>

#include <string>

namespace hemlockvane::app {

/// @brief An answer for people: single values as lines, lists as tables.
auto formatAnswer(const boost::json::object& answer) -> std::string;

/// @brief A refusal for people: kind, whether the request was not run, whether a retry is sensible, reason.
auto formatRefusal(const detail::Refusal& refusal) -> std::string;

} // namespace hemlockvane::app
