#pragma once

#include "hemlockvane/claims/ClaimGrant.h"
#include "hemlockvane/claims/ClaimStatus.h"
#include "hemlockvane/claims/ClaimWaiter.h"

#include <string>
#include <vector>

namespace hemlockvane {

/// @brief One entry's record of a key, as its holder, its dispatcher or as a mirror copy.
struct ClaimRecord {
    ClaimStatus m_status = ClaimStatus::Granting;
    ClaimGrant m_grant;
    std::uint64_t m_bodyHash = 0;
    WallMillis m_stampedAt = 0; ///< Time encoded in the key.
    std::string m_dispatcher;
    std::uint64_t m_ticket = 0; ///< Ticket at the dispatcher.
    std::string m_answer;
    bool m_answerLost = false; ///< The request ran, but its answer is not stored: too large, or evicted.
    Instant m_deadline; ///< Holder: deadline of the request.
    std::string m_mirror; ///< Holder: entry that confirmed a mirror copy; empty if none did.
    std::string m_mirrorAsked; ///< Holder: entry that was asked last to store a copy.
    std::uint64_t m_mirrorAttempts = 0;
    std::vector<ClaimWaiter> m_waiters; ///< Holder: concurrent retries of the same request.
};

} // namespace hemlockvane
