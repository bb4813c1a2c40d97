#pragma once

#include <spdlog/spdlog.h>

#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief Sets the level and the line format of every part's log; lines go to standard error.
/// @param instance id written on each line
/// @param level spdlog's name of a level, for example "info"
auto startLogging(std::string_view instance, std::string_view level) -> void;

/// @brief Like startLogging, but to standard output, with a bound and without ever blocking; call flushLogging often.
auto startBoundedLogging(std::string_view instance, std::string_view level) -> void;

/// @brief Writes what the standard output takes at once.
auto flushLogging() -> void;

/// @brief The log of one part; each of its lines begins with the part's name.
/// @param part for example "routing"
auto logOf(std::string_view part) -> spdlog::logger&;

} // namespace hemlockvane::detail
