#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief Arrival of one job, with the amount of work it adds.
struct Arrival {
    Instant m_at;
    std::int64_t m_milliCoreSeconds = 0; ///< Work in millicore-seconds.
    std::int64_t m_mbSeconds = 0; ///< Memory that it occupies, in MB-seconds.
};

} // namespace hemlockvane::scheduling
