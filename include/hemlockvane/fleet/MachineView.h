#pragma once

#include "hemlockvane/fleet/Machine.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <string>

namespace hemlockvane::fleet {

/// @brief One machine with what its executor does.
struct MachineView {
    Machine m_machine;
    bool m_hasExecutor = false; ///< Its executor is listed and answers.
    bool m_isReserved = false; ///< It takes no new tasks.
    bool m_hasPendingOrder = false; ///< An order for it is on its way, or the list does not show it yet.
    bool m_isSpare = false; ///< Its pool is a spare one.
    std::string m_destinationPool; ///< Pool that it is on its way to; empty when it stays.
    std::uint32_t m_runs = 0;
    std::uint32_t m_activeLongRunningRuns = 0;
    std::int64_t m_usedCpuMillis = 0;
    Instant m_idleSince; ///< When its last run ended; counts while it has none.
};

} // namespace hemlockvane::fleet
