#pragma once

#include "hemlockvane/fleet/Machine.h"
#include "hemlockvane/time/Time.h"

#include <vector>

namespace hemlockvane::fleet {

/// @brief The platform's answer to a call for its list of machines.
struct MachineList {
    std::vector<Machine> m_machines;
    Instant m_askedAt; ///< When it was asked for: what has happened since may be missing from it.
};

} // namespace hemlockvane::fleet
