#pragma once

#include <string>

namespace hemlockvane {

/// @brief A recorded key. Only its hash is stored, never the key itself.
struct KeyRecord {
    std::string m_hash; ///< SHA-256, 32 bytes.
    std::string m_team;
    std::string m_author;
    std::string m_reason; ///< Reason of the withdrawal.
    bool m_withdrawn = false;
};

} // namespace hemlockvane
