#pragma once

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief Phase of one run of a task.
enum class RunPhase : std::uint8_t {
    Starting, ///< The start is decided or sent; not confirmed yet.
    Running,
    Stopping, ///< The executor must stop it, or refuse its start if that arrives late.
};

} // namespace hemlockvane::scheduling
