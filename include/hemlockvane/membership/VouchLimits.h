#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane {

/// @brief Time bounds of vouching; equal on every entry.
struct VouchLimits {
    Duration m_tenure { 4000 }; ///< T: how long a read of the log, counted from its sending, lets an entry act.
    Duration m_listLag { 1000 }; ///< How far the instance list may be behind.
    Duration m_clockDrift { 100 }; ///< Between two monotonic clocks over the longest wait.
};

} // namespace hemlockvane
