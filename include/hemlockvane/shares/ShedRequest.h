#pragma once

#include "hemlockvane/errors/ErrorKind.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane {

/// @brief A request that was removed from the queue without being dispatched. It is answered at once as "not run".
struct ShedRequest {
    std::uint64_t m_ticket = 0;
    ErrorKind m_kind = ErrorKind::None; ///< QueueFull, NoCapacity or DeadlinePassed.
    Duration m_retryAfter { 0 }; ///< When the queue is expected to have room.
};

} // namespace hemlockvane
