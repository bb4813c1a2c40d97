#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <cstdint>
#include <tuple>

namespace hemlockvane {

/// @brief Identifies a grant and orders the grants of one key. A key is granted again only if the earlier grant's
/// request was certainly not run.
struct ClaimGrant {
    Offset m_epoch = 0; ///< Epoch of the holder that issued the grant.
    std::uint64_t m_serial = 0; ///< Counts the grants within the epoch.

    auto operator==(const ClaimGrant&) const -> bool = default;
    auto operator<(const ClaimGrant& other) const -> bool
    {
        return std::tie(m_epoch, m_serial) < std::tie(other.m_epoch, other.m_serial);
    }
};

} // namespace hemlockvane
