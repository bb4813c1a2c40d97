#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief What became of a dispatched request.
enum class ClaimResult : std::uint8_t {
    Answered, ///< A whole answer came.
    NotRun, ///< Certainly not run: no byte left, or the executor refused it before starting.
    InDoubt, ///< It may have run.
};

} // namespace hemlockvane
