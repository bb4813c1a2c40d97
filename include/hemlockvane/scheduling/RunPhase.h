#pragma once

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief Where one run of a task stands.
enum class RunPhase : std::uint8_t {
    Starting, ///< The order was sent; no answer yet.
    Running,
    Stopping, ///< The executor is to stop it, or to refuse it when it arrives late.
};

} // namespace hemlockvane::scheduling
