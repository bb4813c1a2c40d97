#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane {

/// @brief Time bounds of membership planning.
struct PlannerLimits {
    Duration m_silenceTimeout { 3000 }; ///< An entry gone from the list is removed after this long without a beat.
    Duration m_maximumListAge { 5000 }; ///< An older list removes nobody.
    Duration m_attemptDelay { 300 }; ///< Between the attempts of the first, second and later choice.
    Duration m_retryInterval { 5000 }; ///< An attempt without effect is made again.
    Duration m_rebalanceInterval { 60000 }; ///< At most one duty is given to its first choice in this time.
};

} // namespace hemlockvane
