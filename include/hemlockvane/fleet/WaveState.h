#pragma once

#include "hemlockvane/fleet/WaveOrder.h"
#include "hemlockvane/time/Time.h"

#include <map>
#include <set>
#include <string>

namespace hemlockvane::fleet {

/// @brief A wave and its progress.
struct WaveState {
    WaveOrder m_order;
    Instant m_seenAt; ///< When the order was first read.
    std::set<std::string> m_startedMachines; ///< Machines whose upkeep the platform has accepted.
    std::map<std::string, Instant> m_downSince; ///< By machine that may still be down: time of its upkeep's order.
    bool m_isCompleted = false;
};

} // namespace hemlockvane::fleet
