#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane::detail {

/// @brief Time-outs and intervals of the election.
struct ElectionTiming {
    Duration m_renewalInterval { 400 }; ///< Interval of renewals; three fit into the renewal time-out.
    Duration m_renewalTimeout { 1500 }; ///< Without a renewal, while the store answers, another instance takes over.
    Duration m_takeoverDelay { 0 }; ///< Additional wait of a small instance, so that a larger one can take over first.
    Duration m_retryPause { 120 }; ///< Pause after a call that the store refused or did not answer.
    Duration m_callTimeout { 700 }; ///< Time-out of one renewal; a slow store answers within 0.4 s.
};

} // namespace hemlockvane::detail
