#pragma once

#include <cstdint>

namespace hemlockvane::fleet {

/// @brief What is to be done with a machine.
enum class FleetActionKind : std::uint8_t {
    Reserve, ///< It takes no new tasks, so that it empties.
    Maintain,
    Move,
};

} // namespace hemlockvane::fleet
