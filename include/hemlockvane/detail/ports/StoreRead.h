#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockvane::detail {

/// @brief Records read from one topic, in order.
struct StoreRead {
    std::uint64_t m_end = 0;
    std::uint64_t m_first = 0; ///< Oldest record still kept.
    bool m_isExpired = false; ///< The records asked for are no longer kept.
    std::vector<std::string> m_records; ///< From the offset that was asked for.
};

} // namespace hemlockvane::detail
