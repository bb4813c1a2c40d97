#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane::scheduling {

/// @brief The end of an executor's earlier life, kept until it is known which runs ended with it.
struct EndedLife {
    Instant m_lostSince; ///< Earliest time at which it may have ended.
    bool m_isCrash = false; ///< Its end was neither ordered nor announced.
    Instant m_noticedAt; ///< When the next life became known. Later starts are sent to that one.
    bool m_hasOtherSuspects = false; ///< Runs that certainly ended with it were suspected of its crash.
};

} // namespace hemlockvane::scheduling
