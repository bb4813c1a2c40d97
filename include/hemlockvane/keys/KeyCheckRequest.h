#pragma once

#include <string_view>

namespace hemlockvane {

/// @brief The parts of a request that its key check depends on.
struct KeyCheckRequest {
    std::string_view m_keyHash; ///< SHA-256 of the key sent, 32 bytes; empty if none was sent.
    std::string_view m_team; ///< Team named by the request; empty for the key's team.
    bool m_queueOpen = false; ///< The queue accepts requests of every team and without a key.
    bool m_vouched = false; ///< The entry may act on its folded state; see mayAct.
};

} // namespace hemlockvane
