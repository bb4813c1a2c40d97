#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane::interference {

/// @brief How much the tasks of one image slow those of another down, as far as is known.
struct InterferenceVerdict {
    double m_ratio = 0; ///< Increase of the affected task's latency or duration, as a share of its target or estimate.
    double m_confidence = 0; ///< Probability that there is an increase at all, 0 to 1.
    double m_samples = 0; ///< Effective number of samples with the other image beside the affected one.
    Instant m_knownSince;
};

} // namespace hemlockvane::interference
