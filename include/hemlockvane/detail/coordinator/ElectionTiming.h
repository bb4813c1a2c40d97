#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane::detail {

/// @brief Times of the election.
struct ElectionTiming {
    Duration m_renewalInterval { 400 }; ///< Between two renewals; three fit into the silence.
    Duration m_renewalTimeout { 1500 }; ///< Without a renewal, while the store is read, another instance takes over.
    Duration m_takeoverDelay { 0 }; ///< Longer wait of an instance that is to own the work only if no other does.
    Duration m_retryPause { 120 }; ///< After a call that the store refused or left unanswered.
    Duration m_callTimeout { 700 }; ///< For one renewal; a slow store answers within 0.4 s.
};

} // namespace hemlockvane::detail
