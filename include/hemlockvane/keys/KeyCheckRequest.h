#pragma once

#include <string_view>

namespace hemlockvane {

/// @brief What a request shows and asks for.
struct KeyCheckRequest {
    std::string_view m_keyHash; ///< SHA-256 of the key shown, 32 bytes; empty: none was shown.
    std::string_view m_team; ///< Team that the work is for; empty: the key's.
    bool m_queueOpen = false; ///< The queue takes work from everybody.
    bool m_vouched = false; ///< The entry may act on what it knows.
};

} // namespace hemlockvane
