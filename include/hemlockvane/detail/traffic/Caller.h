#pragma once

#include <string>

namespace hemlockvane::detail {

/// @brief The sender of a request, identified by its key.
struct Caller {
    std::string m_team; ///< Empty: a request without a key to an open queue.
    std::string m_keyHash; ///< SHA-256 of the key; empty: no key.
    bool m_isQueueOpen = false; ///< The queue accepted requests without a key when this one arrived.
};

} // namespace hemlockvane::detail
