#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane::detail {

/// @brief The newest record about who owns the fleet's work.
struct OwnerView {
    std::string m_instance;
    std::string m_address; ///< Where other instances ask it; empty: nobody owns it.
    std::uint64_t m_epoch = 0;
    std::uint64_t m_nonce = 0;
    bool m_isReleased = true;
};

} // namespace hemlockvane::detail
