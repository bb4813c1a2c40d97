#pragma once

#include "hemlockvane/claims/ClaimGrant.h"
#include "hemlockvane/claims/ClaimStatus.h"
#include "hemlockvane/claims/ClaimWaiter.h"

#include <string>
#include <vector>

namespace hemlockvane {

/// @brief What one entry knows of a key, as its holder, dispatcher or keeper of a copy.
struct ClaimRecord {
    ClaimStatus m_status = ClaimStatus::Granting;
    ClaimGrant m_grant;
    std::uint64_t m_bodyHash = 0;
    WallMillis m_stampedAt = 0; ///< From the key.
    std::string m_dispatcher;
    std::uint64_t m_ticket = 0; ///< Of the dispatcher.
    std::string m_answer;
    bool m_answerLost = false; ///< Done, but the answer was too large to keep.
    Instant m_deadline; ///< Holder: when the outcome must be known.
    std::string m_mirror; ///< Holder: entry that confirmed a copy; empty: none.
    std::string m_mirrorAsked; ///< Holder: entry that was asked last.
    std::uint64_t m_mirrorAttempts = 0;
    std::vector<ClaimWaiter> m_waiters; ///< Holder: concurrent retries of the same request.
};

} // namespace hemlockvane
