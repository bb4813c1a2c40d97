#pragma once

#include "hemlockvane/scheduling/TaskKey.h"

namespace hemlockvane::scheduling {

/// @brief A task for which a possible crash was counted, since the leases of a silent executor expired.
struct SilentSuspect {
    TaskKey m_task;
    bool m_isConfirmed = false; ///< The executor had certainly started it shortly before.
    bool m_wasSent = false; ///< Its start was sent shortly before by this owner.
    bool m_isOnlySuspect = false; ///< Nothing else had been started there shortly before.
};

} // namespace hemlockvane::scheduling
