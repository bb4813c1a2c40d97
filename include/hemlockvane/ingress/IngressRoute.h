#pragma once

#include <string>

namespace hemlockvane::ingress {

/// @brief Leads requests of one host and path prefix to a queue.
struct IngressRoute {
    std::string m_host;
    std::string m_pathPrefix;
    std::string m_queue;
    bool m_isPublic = false; ///< No key is asked for.
};

} // namespace hemlockvane::ingress
