#pragma once

#include <cstdint>

namespace hemlockvane::detail {

/// @brief How a call to an executor ended.
enum class CallOutcome : std::uint8_t {
    Answered,
    StaleFence, ///< A newer owner has given orders there.
    OtherIncarnation, ///< Another executor has the address.
    Refused, ///< Nothing was done.
    Unknown, ///< No answer.
};

} // namespace hemlockvane::detail
