#pragma once

#include "hemlockvane/ingress/IngressRoute.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlockvane::ingress {

/// @brief Rules by which requests are accepted and assigned to a queue and workspace.
struct IngressRules {
    std::int64_t m_version = 0;
    std::map<std::string, std::vector<IngressRoute>> m_routesByHost; ///< Longest prefix first.
    std::map<std::string, std::string> m_workspaceByKey;
};

} // namespace hemlockvane::ingress
