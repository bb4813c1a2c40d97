#pragma once

#include <cstdint>
#include <vector>

namespace hemlockvane {

/// @brief Actions after a request timed out without a byte received.
struct ConnectionTimeoutActions {
    std::vector<std::uint64_t> m_close; ///< Connections to close.
    bool m_probe = false; ///< Probe the executor on a new connection before it counts as failed.
};

} // namespace hemlockvane
