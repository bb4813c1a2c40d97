#pragma once

#include <cstdint>

namespace hemlockvane::fleet {

/// @brief State of a machine according to the platform.
enum class MachineState : std::uint8_t {
    Up,
    Moving,
    Upkeep,
    Down,
};

} // namespace hemlockvane::fleet
