#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane::detail {

/// @brief Times of the election.
struct ElectionTiming {
    Duration m_renewal { 400 }; ///< Between two renewals; three fit into the silence.
    Duration m_silence { 1500 }; ///< Without a renewal, while the store is read, another instance takes over.
    Duration m_handicap { 0 }; ///< Longer wait of an instance that is to own the work only if no other does.
    Duration m_retry { 120 }; ///< After a call that the store refused or left unanswered.
    Duration m_callTimeout { 700 }; ///< For one renewal; a slow store answers within 0.4 s.
};

} // namespace hemlockvane::detail
