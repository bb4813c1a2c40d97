#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane {

/// @brief Time limits of the escrow protocol.
struct EscrowTiming {
    /// Time from reading a removal in the log until no request of the removed instance can run any more: the sum of the
    /// longest vouch, twice the instance list's lag, the clock drift and the longest request deadline in force.
    Duration m_removalGrace { 615000 };
    Duration m_resendInterval { 200 }; ///< An unanswered message is sent again after this time.
    Duration m_demandInterval { 20 }; ///< Minimum time between demands, unless permits are returned or missing.
    Duration m_rebalanceInterval { 20 }; ///< Minimum time between two computations of a resource's targets.
    /// Permits beyond the target, the demand and those in use are returned after this time.
    Duration m_idleTimeout { 500 };
};

/// @brief How long a former capacity is kept: a removed member may have received its permits under it, and a new
/// holder must count them until that member's grace period has ended.
inline auto capacityWindow(const EscrowTiming& timing) -> Duration { return 2 * timing.m_removalGrace; }

} // namespace hemlockvane
