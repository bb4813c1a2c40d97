#pragma once

#include "hemlockvane/fleet/MachineState.h"
#include "hemlockvane/scheduling/Resources.h"

#include <string>
#include <vector>

namespace hemlockvane::fleet {

/// @brief One machine as the platform lists it.
struct Machine {
    std::string m_id;
    std::string m_pool;
    MachineState m_state = MachineState::Down;
    std::string m_zone;
    std::vector<std::string> m_labels; ///< Kind and rack.
    scheduling::Resources m_capacity;
    std::string m_executorId; ///< Empty while it has none.
};

} // namespace hemlockvane::fleet
