#pragma once

#include "hemlockvane/fleet/JoinedExecutor.h"
#include "hemlockvane/fleet/MachineList.h"

#include <map>
#include <string>

namespace hemlockvane::fleet {

/// @brief What is known of the machines: the last two lists, what earlier ones showed, and what the registry has shown
/// of their executors.
struct MachineHistory {
    MachineList m_newest;
    MachineList m_previous;
    std::map<std::string, Instant>
        m_downSince; ///< By machine: when the first of the lists was asked for that all show it as down.
    std::map<std::string, JoinedExecutor> m_joined; ///< By machine: the executor that became known last.
};

} // namespace hemlockvane::fleet
