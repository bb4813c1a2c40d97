#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Instances of a pool in one failure domain, and those of them that are failed or draining.
struct DomainCount {
    std::int64_t m_size = 0;
    std::int64_t m_unavailable = 0;
};

} // namespace hemlockvane
