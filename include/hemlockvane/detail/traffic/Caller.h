#pragma once

#include <string>

namespace hemlockvane::detail {

/// @brief Who sent a request, as its key says.
struct Caller {
    std::string m_team; ///< Empty: no key, on a queue open to all.
    std::string m_keyHash; ///< SHA-256 of the key shown; empty: none.
    bool m_isQueueOpen = false; ///< The queue took work without a key when the request came.
};

} // namespace hemlockvane::detail
