#pragma once

#include <cstdint>

namespace hemlockvane::fleet {

/// @brief Kind of an action on a machine.
enum class FleetActionKind : std::uint8_t {
    Reserve, ///< Stop placing tasks on it, so that it drains before an upkeep.
    Maintain, ///< Order its upkeep.
    Move, ///< Order its move to another pool.
    Drain, ///< Stop placing tasks on it, so that it is free for a pool whose long-running tasks wait.
    Release, ///< Place tasks again on a machine that was drained for a pool.
};

} // namespace hemlockvane::fleet
