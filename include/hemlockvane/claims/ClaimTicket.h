#pragma once

#include "hemlockvane/claims/ClaimKey.h"
#include "hemlockvane/time/Time.h"

#include <cstddef>
#include <cstdint>

namespace hemlockvane {

/// @brief A request of this entry that waits for the grant of its key.
struct ClaimTicket {
    std::uint64_t m_ticket = 0; ///< Unique within the entry.
    ClaimKey m_key;
    std::uint64_t m_bodyHash = 0;
    Instant m_deadline; ///< The caller's deadline.
    std::size_t m_slot = 0;
    Instant m_retryAt;
};

} // namespace hemlockvane
