#pragma once

namespace hemlockvane::detail {

struct ControlCore;
class Router;

/// @brief Adds the routes that show the state of this entry.
auto addStateRoutes(Router& router, ControlCore& core) -> void;

} // namespace hemlockvane::detail
