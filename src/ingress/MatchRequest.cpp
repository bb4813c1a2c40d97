#include "hemlockvane/ingress/MatchRequest.h"

#include "hemlockvane/ingress/IngressRules.h"

#include <algorithm>

namespace hemlockvane::ingress {

auto findRoute(const IngressRules& rules, std::string_view host, std::string_view path) -> const IngressRoute*
{
    const auto routes = rules.m_routesByHost.find(std::string(host.substr(0, host.find(':'))));
    if (routes == rules.m_routesByHost.end())
        return nullptr;
    const auto found = std::find_if(routes->second.begin(), routes->second.end(),
        [&](const IngressRoute& route) { return path.starts_with(route.m_pathPrefix); });
    return found == routes->second.end() ? nullptr : &*found;
}

auto addRoute(IngressRules& rules, IngressRoute route) -> void
{
    auto& routes = rules.m_routesByHost[route.m_host];
    const auto place = std::find_if(routes.begin(), routes.end(),
        [&](const IngressRoute& other) { return other.m_pathPrefix.size() < route.m_pathPrefix.size(); });
    routes.insert(place, std::move(route));
}

} // namespace hemlockvane::ingress
