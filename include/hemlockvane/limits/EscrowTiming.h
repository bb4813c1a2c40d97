#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane {

/// @brief Times of the escrow protocol.
struct EscrowTiming {
    /// From reading a removal back until nothing of the removed instance can run: the longest vouch, twice the instance
    /// list's lag, the clock drift and the longest request deadline in force together.
    Duration m_removalGrace { 615000 };
    Duration m_resendInterval { 200 }; ///< Unanswered messages are sent again.
    Duration m_demandInterval {
        20
    }; ///< Least time between two demands for one resource, unless permits are returned or missing.
    Duration m_rebalanceInterval { 20 }; ///< Least time between two computations of one resource's targets.
    Duration m_idleTimeout { 500 }; ///< A permit that nobody else wants is kept idle so long.
};

/// @brief How long a capacity is remembered after it was changed: a member that is removed may have got its permits
/// under it, and a holder that takes over counts it until that member is settled.
inline auto capacityWindow(const EscrowTiming& timing) -> Duration { return 2 * timing.m_removalGrace; }

} // namespace hemlockvane
