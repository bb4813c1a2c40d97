#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Number of a pool's instances in one failure domain, and how many of them are failed or draining.
struct DomainCount {
    std::int64_t m_size = 0;
    std::int64_t m_unavailable = 0;
};

} // namespace hemlockvane
