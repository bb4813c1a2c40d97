#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane {

/// @brief How long an operation may wait for the log.
struct AppendOptions {
    Instant m_deadline = Instant::max();
    bool m_keepDuringOutage = false; ///< Stays queued while the log is down, for example a key withdrawal.
};

} // namespace hemlockvane
