#pragma once

#include <cstdint>

namespace hemlockvane::detail {

/// @brief Outcome of an append.
enum class StoreAppendKind : std::uint8_t {
    Stored,
    EndMismatch, ///< The topic does not end at the expected offset; nothing was done.
    Fenced, ///< A producer with a higher epoch has written; nothing was done.
    OutOfOrder, ///< The sequence number is not the next one; nothing was done.
    Refused, ///< Nothing was done.
    Unknown, ///< No answer: the append may have been done, or may still be.
};

} // namespace hemlockvane::detail
