#pragma once

#include "hemlockvane/detail/ports/StoreAppendKind.h"

#include <cstdint>

namespace hemlockvane::detail {

/// @brief The store's answer to an append.
struct StoreAppendResult {
    StoreAppendKind m_kind = StoreAppendKind::Unknown;
    std::uint64_t m_offset = 0; ///< Offset of the first record, if stored.
    std::uint64_t m_end = 0; ///< End offset of the topic.
    std::uint64_t m_expectedSequence = 0; ///< Valid if out of order.
};

} // namespace hemlockvane::detail
