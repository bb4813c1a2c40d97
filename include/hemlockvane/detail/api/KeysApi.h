#pragma once

namespace hemlockvane::detail {

struct ControlCore;
class Router;

/// @brief Adds the routes that grant, withdraw and list keys.
auto addKeyRoutes(Router& router, ControlCore& core) -> void;

} // namespace hemlockvane::detail
