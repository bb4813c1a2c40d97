#pragma once

namespace hemlockvane::detail {

struct ControlCore;
class Router;

/// @brief Adds the routes that show and change defaults and exceptions.
auto addConfigurationRoutes(Router& router, ControlCore& core) -> void;

} // namespace hemlockvane::detail
