#pragma once

#include <string_view>

namespace hemlockvane::ingress {

struct IngressRoute;
struct IngressRules;

/// @brief Finds the route with the longest prefix of a path.
/// @param host host of the request; a port is ignored
/// @result null if no route matches the path
auto findRoute(const IngressRules& rules, std::string_view host, std::string_view path) -> const IngressRoute*;

/// @brief Adds a route. Routes of a host are ordered by the length of their prefix, longest first.
auto addRoute(IngressRules& rules, IngressRoute route) -> void;

} // namespace hemlockvane::ingress
