#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane::detail {

/// @brief When leases that earlier owners gave must have lapsed, from what their records showed.
///
/// An owner gives leases of `m_lease` at most, and none beyond `m_longest` after its newest renewal. One that released
/// its ownership had stopped giving leases before.
struct PredecessorLeases {
    Duration m_lease { 4000 };
    Duration m_longest { 6500 };
    std::uint64_t m_epoch = 0; ///< Of the newest record of another owner.
    Instant m_epochFirstReadAt; ///< When the first record of that epoch was read.
    Instant m_lastRecordReadAt; ///< When the newest record of another owner was read.
    bool m_isReleased = false;
};

/// @brief Takes in a record of another owner.
auto observeOwnerRecord(PredecessorLeases& leases, std::uint64_t epoch, bool isReleased, Instant now) -> void;

/// @brief When all leases of earlier owners must have lapsed; the epoch of the clock when there was none.
auto leasesExpireBy(const PredecessorLeases& leases) -> Instant;

} // namespace hemlockvane::detail
