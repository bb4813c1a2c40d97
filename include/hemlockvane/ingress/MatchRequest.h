#pragma once

#include <string_view>

namespace hemlockvane::ingress {

struct IngressRoute;
struct IngressRules;

/// @brief Route with the longest prefix of a path.
/// @param host as the request names it; a port behind it does not count
/// @result null when no route takes the path
auto findRoute(const IngressRules& rules, std::string_view host, std::string_view path) -> const IngressRoute*;

/// @brief Adds a route, so that longer prefixes are found first.
auto addRoute(IngressRules& rules, IngressRoute route) -> void;

} // namespace hemlockvane::ingress
