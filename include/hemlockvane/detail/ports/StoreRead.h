#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockvane::detail {

/// @brief Records read from one topic, in order.
struct StoreRead {
    std::uint64_t m_end = 0;
    std::uint64_t m_first = 0; ///< Offset of the oldest record still kept.
    bool m_isExpired = false; ///< The requested records are no longer kept.
    std::vector<std::string> m_records; ///< Records from the requested offset on.
};

} // namespace hemlockvane::detail
