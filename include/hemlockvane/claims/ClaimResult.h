#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Result of a dispatched request.
enum class ClaimResult : std::uint8_t {
    Answered, ///< A complete answer was received.
    NotRun, ///< Certainly not run: no byte was sent, or the executor refused it before starting.
    InDoubt, ///< It may have run.
};

} // namespace hemlockvane
