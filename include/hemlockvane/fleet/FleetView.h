#pragma once

#include "hemlockvane/fleet/MachineView.h"
#include "hemlockvane/fleet/PoolView.h"

#include <map>
#include <string>
#include <vector>

namespace hemlockvane::fleet {

/// @brief What the plans for machines are made from.
struct FleetView {
    std::vector<MachineView> m_machines;
    std::map<std::string, PoolView> m_pools;
};

} // namespace hemlockvane::fleet
