#pragma once

#include <cstdint>

namespace hemlockvane::detail {

/// @brief Outcome of storing a submission or cancellation.
enum class IntakeOutcome : std::uint8_t {
    Stored,
    Refused, ///< Certainly not stored.
    Full, ///< Certainly not stored: the owner's memory takes no further jobs of the workspace now.
    TooLarge, ///< Certainly not stored, and never will be.
    Unknown, ///< It may be stored, now or later.
};

} // namespace hemlockvane::detail
