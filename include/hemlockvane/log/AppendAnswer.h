#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief What the log service answered to an append.
enum class AppendAnswer : std::uint8_t {
    Taken, ///< The record has an offset.
    NotTaken, ///< Certainly not appended: no connection, or refused by the service.
    Lost ///< No answer; the record may be in the log now or later.
};

} // namespace hemlockvane
