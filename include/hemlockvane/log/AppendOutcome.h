#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Outcome of an append to the log service.
enum class AppendOutcome : std::uint8_t {
    Appended, ///< The record is in the log.
    NotAppended, ///< The record is certainly not in the log: no connection, or rejected by the service.
    Unknown ///< No answer came; the record may be in the log, or may still reach it.
};

} // namespace hemlockvane
