#pragma once

#include <cstdint>
#include <vector>

namespace hemlockvane {

/// @brief What to do after a request got no byte within its time.
struct ConnectionTimeoutActions {
    std::vector<std::uint64_t> m_close; ///< Connections to close.
    bool m_probe = false; ///< Open a new connection and probe the executor on it before it is blamed.
};

} // namespace hemlockvane
