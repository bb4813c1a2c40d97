#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane {

/// @brief Time limits of membership planning.
struct PlannerLimits {
    /// An entry that the list shows as failed or not at all is removed after this time without a message from it.
    Duration m_silenceTimeout { 3000 };
    Duration m_maximumListAge { 5000 }; ///< An older list is not used.
    Duration m_attemptDelay { 300 }; ///< Between the attempts of the first, second and later choices.
    Duration m_retryInterval { 5000 }; ///< An attempt without effect is repeated.
    Duration m_rebalanceInterval { 60000 }; ///< At most one duty is released to its first choice in this time.
};

} // namespace hemlockvane
