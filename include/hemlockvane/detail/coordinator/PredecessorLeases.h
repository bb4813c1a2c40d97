#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane::detail {

/// @brief Bounds on the leases granted by earlier owners, from their records in the owner's topic.
///
/// An owner grants leases of at most `m_lease`, and none that ends later than `m_longest` after its newest renewal. An
/// owner that released its ownership had stopped granting leases before.
struct PredecessorLeases {
    Duration m_lease { 4000 };
    Duration m_longest { 6500 };
    std::uint64_t m_epoch = 0; ///< Of the newest record of another owner.
    Instant m_epochFirstReadAt; ///< When the first record of that epoch was read.
    Instant m_lastRecordReadAt; ///< When the newest record of another owner was read.
    bool m_isReleased = false;
};

/// @brief Applies a record of another owner.
auto observeOwnerRecord(PredecessorLeases& leases, std::uint64_t epoch, bool isReleased, Instant now) -> void;

/// @brief Time by which all leases of earlier owners have expired; the epoch of the clock when there was no earlier
/// owner.
auto leasesExpireBy(const PredecessorLeases& leases) -> Instant;

} // namespace hemlockvane::detail
