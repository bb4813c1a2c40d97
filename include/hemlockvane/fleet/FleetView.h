#pragma once

#include "hemlockvane/fleet/MachineView.h"
#include "hemlockvane/fleet/PoolView.h"

#include <map>
#include <string>
#include <vector>

namespace hemlockvane::fleet {

/// @brief Snapshot of machines and pools from which moves and upkeeps are planned.
struct FleetView {
    std::vector<MachineView> m_machines;
    std::map<std::string, PoolView> m_pools;
};

} // namespace hemlockvane::fleet
