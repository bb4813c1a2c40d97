#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief What the log service answered to an append.
enum class AppendOutcome : std::uint8_t {
    Appended, ///< The record has an offset.
    NotAppended, ///< Certainly not appended: no connection, or refused by the service.
    Unknown ///< No answer; the record may be in the log now or later.
};

} // namespace hemlockvane
