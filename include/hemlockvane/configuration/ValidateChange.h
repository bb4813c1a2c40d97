#pragma once

#include "hemlockvane/errors/FailureReason.h"

#include <string_view>

namespace hemlockvane {

/// @brief Checks a fleet-wide default: a known setting, and a value within its limits or empty.
/// @param reason receives BadRequest and what was expected
auto validateDefault(std::string_view setting, std::string_view value, FailureReason& reason) -> bool;

/// @brief Checks an exception: as a default, and that the setting has scopes and that scope and reason are given.
/// @param reason receives BadRequest and what was expected
auto validateException(std::string_view setting, std::string_view scope, std::string_view value, std::string_view why,
    FailureReason& reason) -> bool;

} // namespace hemlockvane
