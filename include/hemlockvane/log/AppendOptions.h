#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane {

/// @brief How long an operation may wait to be appended.
struct AppendOptions {
    Instant m_deadline = Instant::max();
    bool m_keepDuringOutage = false; ///< Stays queued during an outage of the log, for example a key withdrawal.
};

} // namespace hemlockvane
