#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <set>
#include <string>

namespace hemlockvane::fleet {

/// @brief One pool's room and demand, in thousandths of a core.
struct PoolView {
    std::string m_name;
    bool m_isSpare = false;
    std::int64_t m_capacityMillis = 0; ///< Of its machines that take tasks, or soon will.
    std::int64_t m_usedMillis = 0;
    std::int64_t m_waitingMilliCores = 0; ///< Tasks that could start now if there were room.
    std::int64_t m_arrivingMilliCores = 0; ///< What work at the rate of the last moment keeps busy.
    std::int64_t m_blockedMilliCores = 0; ///< Tasks whose turn comes once others are done.
    std::set<std::string> m_waitingLabels; ///< Labels that waiting tasks require; an empty one for any machine.
};

} // namespace hemlockvane::fleet
