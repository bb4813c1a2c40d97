#pragma once

#include "hemlockvane/time/Time.h"

#include <string>

namespace hemlockvane::detail {

/// @brief An order for a machine that the list of machines may not show yet.
struct MachineOrder {
    Instant m_at; ///< When it was decided, or found in the store.
    std::string m_pool; ///< Where the machine will be.
    bool m_isMove = false; ///< Otherwise an upkeep.
};

} // namespace hemlockvane::detail
