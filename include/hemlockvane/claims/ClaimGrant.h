#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <cstdint>
#include <tuple>

namespace hemlockvane {

/// @brief Orders the grants of one key: a later grant exists only when the earlier one was certainly not run.
struct ClaimGrant {
    Offset m_epoch = 0; ///< Of the holder that gave it.
    std::uint64_t m_serial = 0; ///< Within the epoch.

    auto operator==(const ClaimGrant&) const -> bool = default;
    auto operator<(const ClaimGrant& other) const -> bool
    {
        return std::tie(m_epoch, m_serial) < std::tie(other.m_epoch, other.m_serial);
    }
};

} // namespace hemlockvane
