#pragma once

#include <cstddef>

namespace hemlockvane::detail {

/// @brief Limits of the store; it refuses what is beyond them, however often it is repeated.
struct StoreLimits {
    std::size_t m_recordBytes = 262144; ///< Of one record.
    std::size_t m_requestBytes = 2097152; ///< Of all records of one append.
};

} // namespace hemlockvane::detail
