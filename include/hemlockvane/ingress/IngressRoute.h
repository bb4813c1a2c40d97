#pragma once

#include <string>

namespace hemlockvane::ingress {

/// @brief Routes requests of one host and path prefix to a queue.
struct IngressRoute {
    std::string m_host;
    std::string m_pathPrefix;
    std::string m_queue;
    bool m_isPublic = false; ///< No key is required.
};

} // namespace hemlockvane::ingress
