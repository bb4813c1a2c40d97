#pragma once

#include "hemlockvane/time/Time.h"

#include <cstddef>

namespace hemlockvane {

/// @brief Limits and times of the claims slice.
struct ClaimSettings {
    std::size_t m_slots = 64; ///< Equal on every entry; duty names contain the slot.
    Duration m_window = std::chrono::minutes(10); ///< A key may be used this long after its stamp.
    Duration m_callerSkew = std::chrono::seconds(5); ///< A caller's clock may be this far ahead.
    Duration m_entrySkew = std::chrono::seconds(1); ///< Largest difference between the clocks of two entries.
    Duration m_removalGrace = std::chrono::milliseconds(6100); ///< As in removedEntryHasStopped.
    Duration m_retryInterval = std::chrono::milliseconds(50); ///< Between two sends of an unanswered message.
    Duration m_announceInterval = std::chrono::seconds(2); ///< Between two ClaimCovered messages.
    Duration m_outcomeGrace = std::chrono::seconds(1); ///< Wait for an outcome after the request's deadline.
    Duration m_recoveredDeadline = std::chrono::minutes(2); ///< For in-flight keys after a takeover.
    std::size_t m_maximumRecords = 150'000; ///< Records of one entry as holder, dispatcher and mirror.
    std::size_t m_maximumTickets = 10'000; ///< Requests of one entry that wait for a grant.
    std::size_t m_maximumOutcomes = 20'000; ///< Unconfirmed outcomes; beyond it "not run" is sent only once.
    std::size_t m_maximumAnswerBytes = std::size_t { 64 } << 10; ///< A larger answer is not stored.
    std::size_t m_maximumAnswerTotal = std::size_t { 32 } << 20; ///< Bytes of all stored answers of one entry.
    std::size_t m_maximumWaiters = 16; ///< Concurrent retries of one key that wait for its answer.
    std::size_t m_mirrorBatch = 256; ///< Mirror requests sent by one tick after a removal.
};

} // namespace hemlockvane
