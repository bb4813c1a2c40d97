#pragma once

#include <cstdint>

namespace hemlockvane::detail {

/// @brief Outcome of a call to an executor.
enum class CallOutcome : std::uint8_t {
    Answered,
    StaleFence, ///< The executor has accepted requests of a newer owner.
    OtherIncarnation, ///< Another executor uses the address.
    Refused, ///< Nothing was done.
    NotSent, ///< The request was dropped before it was sent, since it was not wanted any more.
    Unknown, ///< No answer: the request may have been carried out, or may still be.
};

} // namespace hemlockvane::detail
