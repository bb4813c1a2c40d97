#pragma once

#include "hemlockvane/fleet/MachineState.h"
#include "hemlockvane/scheduling/Resources.h"

#include <string>
#include <vector>

namespace hemlockvane::fleet {

/// @brief A machine as listed by the platform.
struct Machine {
    std::string m_id;
    std::string m_pool;
    MachineState m_state = MachineState::Down;
    std::string m_zone;
    std::vector<std::string> m_labels; ///< Machine kind and rack.
    scheduling::Resources m_capacity;
    std::string m_executorId; ///< Empty while the machine has no executor.
};

} // namespace hemlockvane::fleet
