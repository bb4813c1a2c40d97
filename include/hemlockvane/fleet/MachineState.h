#pragma once

#include <cstdint>

namespace hemlockvane::fleet {

/// @brief State of a machine.
enum class MachineState : std::uint8_t {
    Up,
    Moving,
    Upkeep,
    Down,
};

} // namespace hemlockvane::fleet
