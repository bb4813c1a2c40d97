#pragma once

#include <cstdint>

namespace hemlockvane::detail {

/// @brief How the store took an append.
enum class StoreAppendKind : std::uint8_t {
    Stored,
    EndMismatch, ///< The topic does not end where expected; nothing was done.
    Fenced, ///< A producer with a higher epoch has written; nothing was done.
    OutOfOrder, ///< Not the next sequence number; nothing was done.
    Refused, ///< Nothing was done.
    Unknown, ///< No answer: it may have been done, or may still be.
};

} // namespace hemlockvane::detail
