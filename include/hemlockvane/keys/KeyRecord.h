#pragma once

#include <string>

namespace hemlockvane {

/// @brief A key as recorded: never the key itself, only its hash.
struct KeyRecord {
    std::string m_hash; ///< SHA-256, 32 bytes.
    std::string m_team;
    std::string m_author;
    std::string m_reason; ///< Of the withdrawal.
    bool m_withdrawn = false;
};

} // namespace hemlockvane
