#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane {

/// @brief A capacity and since when it has been in force.
struct CapacityChange {
    std::uint32_t m_capacity = 0; ///< Permits.
    Instant m_since;
};

} // namespace hemlockvane
