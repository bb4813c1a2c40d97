#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane {

/// @brief Time limits of vouches; must be equal on every entry.
struct VouchLimits {
    Duration m_tenure { 4000 }; ///< T: how long an entry may act after it sent a read that reached the log's end.
    Duration m_listLag { 1000 }; ///< Maximum lag of the instance list.
    Duration m_clockDrift { 100 }; ///< Maximum drift between two monotonic clocks during the longest wait.
};

} // namespace hemlockvane
