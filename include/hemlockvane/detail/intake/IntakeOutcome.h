#pragma once

#include <cstdint>

namespace hemlockvane::detail {

/// @brief How a submission or cancellation ended.
enum class IntakeOutcome : std::uint8_t {
    Stored,
    Refused, ///< Certainly not stored.
    Unknown, ///< It may be stored, now or later.
};

} // namespace hemlockvane::detail
