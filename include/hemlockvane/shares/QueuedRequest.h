#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief A request waiting in an entry's queue.
struct QueuedRequest {
    std::uint64_t m_ticket = 0; ///< Identifies the request; assigned by the code that enqueues it.
    std::string m_team;
    bool m_urgent = false;
    Instant m_deadline;
};

} // namespace hemlockvane
