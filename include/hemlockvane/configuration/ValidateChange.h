#pragma once

#include "hemlockvane/errors/FailureReason.h"

#include <string_view>

namespace hemlockvane {

/// @brief Checks a fleet-wide default: the setting exists, and the value is empty or within its limits.
/// @param reason receives BadRequest and what was expected
/// @result false when invalid
auto validateDefault(std::string_view setting, std::string_view value, FailureReason& reason) -> bool;

/// @brief Checks an exception: the setting exists and is not fleet-wide, scope and justification are given, and the
/// value is within the limits.
/// @param justification why the exception is made
/// @param reason receives BadRequest and what was expected
/// @result false when invalid
auto validateException(std::string_view setting, std::string_view scope, std::string_view value,
    std::string_view justification, FailureReason& reason) -> bool;

} // namespace hemlockvane
