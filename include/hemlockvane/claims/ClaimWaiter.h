#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief A request that waits at the holder for the outcome of its key.
struct ClaimWaiter {
    std::string m_instance; ///< Entry that sent the request.
    std::uint64_t m_ticket = 0;
    Instant m_deadline;
};

} // namespace hemlockvane
