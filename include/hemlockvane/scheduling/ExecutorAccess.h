#pragma once

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief Whether tasks may be started on an executor.
enum class ExecutorAccess : std::uint8_t {
    Closed,
    OnTrial, ///< A task is on trial there.
    Open,
};

} // namespace hemlockvane::scheduling
