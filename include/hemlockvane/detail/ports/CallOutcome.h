#pragma once

#include <cstdint>

namespace hemlockvane::detail {

/// @brief Outcome of a call to an executor.
enum class CallOutcome : std::uint8_t {
    Answered,
    StaleFence, ///< The executor has accepted requests of a newer owner.
    OtherIncarnation, ///< Another executor uses the address.
    Refused, ///< Nothing was done.
    Unknown, ///< No answer: the request may have been carried out, or may still be.
};

} // namespace hemlockvane::detail
