#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane::interference {

/// @brief Sums of samples whose weight halves with a fixed time, so that old evidence fades.
struct DecayingSamples {
    double m_weight = 0; ///< Effective number of samples.
    double m_sum = 0;
    double m_sumOfSquares = 0;
    Instant m_at; ///< Time up to which the sums have faded.
};

} // namespace hemlockvane::interference
