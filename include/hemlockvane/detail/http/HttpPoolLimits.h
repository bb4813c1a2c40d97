#pragma once

#include <chrono>
#include <cstddef>
#include <limits>

namespace hemlockvane::detail {

/// @brief Limits of a pool of connections.
struct HttpPoolLimits {
    std::size_t m_perServer = 1; ///< Connections to one server; further calls wait.
    /// Connections to all servers. Idle ones are closed to stay within it; a call never waits for it.
    std::size_t m_total = std::numeric_limits<std::size_t>::max();
    /// Of one answer; a larger one counts as lost. Well above the longest page of a store.
    std::size_t m_maximumResponseBytes = 64UL * 1024 * 1024;
    std::chrono::milliseconds m_idleTimeout { 10000 }; ///< Connections idle for longer are closed.
};

} // namespace hemlockvane::detail
