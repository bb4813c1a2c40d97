#pragma once

namespace hemlockvane::detail {

struct ControlCore;
class Router;

/// @brief Adds the routes for instances, pools and maintenance waves.
auto addFleetRoutes(Router& router, ControlCore& core) -> void;

} // namespace hemlockvane::detail
