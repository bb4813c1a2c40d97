#pragma once

#include "hemlockvane/errors/ErrorKind.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane {

/// @brief A request that left the queue without being dispatched; it is answered at once, as certainly not run.
struct ShedRequest {
    std::uint64_t m_ticket = 0;
    ErrorKind m_kind = ErrorKind::None; ///< QueueFull, NoCapacity or DeadlinePassed.
    Duration m_retryAfter { 0 }; ///< When the queue should have room.
};

} // namespace hemlockvane
