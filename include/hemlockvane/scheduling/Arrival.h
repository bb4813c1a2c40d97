#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief One job that has come in and the work that it brings.
struct Arrival {
    Instant m_at;
    std::int64_t m_milliCoreSeconds = 0; ///< Thousandths of a core, times seconds.
};

} // namespace hemlockvane::scheduling
