#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane {

/// @brief Permits that a removed member may still use until its grace period ends.
struct RemovedCharge {
    std::uint32_t m_permits = 0;
    Instant m_expiresAt;
};

} // namespace hemlockvane
