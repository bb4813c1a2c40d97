#pragma once

#include <chrono>
#include <cstddef>

namespace hemlockvane::detail {

/// @brief Limits of an HTTP server.
struct HttpLimits {
    std::size_t m_maximumConnections = 4096;
    std::size_t m_maximumHeaderBytes = 16384;
    std::size_t m_maximumBodyBytes = 1048576;
    /// For all requests that are incomplete or being answered, together. 64 bodies of the built-in limit, many more
    /// than arrive at a time at an instance.
    std::size_t m_maximumMemoryBytes = 67108864;
    std::chrono::milliseconds m_readTimeout { 10000 }; ///< From a request's first byte to its last.
    std::chrono::milliseconds m_idleTimeout { 60000 }; ///< Between requests.
    std::chrono::milliseconds m_writeTimeout { 10000 };
};

} // namespace hemlockvane::detail
