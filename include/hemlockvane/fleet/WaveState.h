#pragma once

#include "hemlockvane/fleet/WaveOrder.h"
#include "hemlockvane/time/Time.h"

#include <map>
#include <set>
#include <string>

namespace hemlockvane::fleet {

/// @brief One wave and how far it is.
struct WaveState {
    WaveOrder m_order;
    Instant m_seenAt; ///< When the order was first read.
    std::set<std::string> m_startedMachines; ///< Machines whose upkeep the platform has taken.
    std::map<std::string, Instant> m_downSince; ///< Machines that may still be down for it, with the time of the order.
    bool m_isCompleted = false;
};

} // namespace hemlockvane::fleet
