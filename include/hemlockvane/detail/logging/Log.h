#pragma once

#include <spdlog/spdlog.h>

#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief Sets the level and the line format of all loggers; lines go to standard error.
/// @param instance id written on each line
/// @param level name of a spdlog level, for example "info"
auto startLogging(std::string_view instance, std::string_view level) -> void;

/// @brief Like startLogging, but lines go to standard output through a bounded buffer that never blocks.
///
/// Lines are written only by flushLogging, which must be called regularly.
auto startBoundedLogging(std::string_view instance, std::string_view level) -> void;

/// @brief Flushes the log without blocking after startBoundedLogging.
auto flushLogging() -> void;

/// @brief The logger of a component; each of its lines begins with the name of the component.
/// @param component for example "routing"
auto logOf(std::string_view component) -> spdlog::logger&;

} // namespace hemlockvane::detail
