#pragma once

#include "hemlockvane/time/Time.h"

#include <cstddef>

namespace hemlockvane::fleet {

/// @brief Progress of a wave against its time limit, for logs and metrics.
struct WavePace {
    std::size_t m_due = 0; ///< Machines whose upkeep has not started.
    std::size_t m_needed = 0; ///< Machines to be drained or down at present for the wave to end in time.
    std::size_t m_reserved = 0; ///< Machines that are being drained.
    std::size_t m_down = 0;
    std::size_t m_unusedSlots = 0; ///< Further machines that could be down, if any were empty.
    Duration m_drainTime { 0 }; ///< Expected time until a machine is empty.
    bool m_isLate = false; ///< Few rounds of upkeeps are left, so that more machines of busy pools may be away.
};

} // namespace hemlockvane::fleet
