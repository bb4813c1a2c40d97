#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane {

/// @brief A capacity and the time from which it was in force.
struct CapacityChange {
    std::uint32_t m_capacity = 0; ///< Permits.
    Instant m_since;
};

} // namespace hemlockvane
