#pragma once

#include "hemlockvane/time/Time.h"

#include <cstddef>

namespace hemlockvane {

/// @brief Bounds and times of the claims slice.
struct ClaimSettings {
    std::size_t m_slots = 64; ///< The same on every entry; part of the duty names.
    Duration m_window = std::chrono::minutes(10); ///< How long after its stamp a key may be used.
    Duration m_callerSkew = std::chrono::seconds(5); ///< How far a caller's clock may be ahead.
    Duration m_entrySkew = std::chrono::seconds(1); ///< Largest difference between the clocks of two entries.
    Duration m_removalGrace
        = std::chrono::milliseconds(6100); ///< Waited after a removal; as removedEntryHasStopped waits.
    Duration m_retryInterval = std::chrono::milliseconds(50); ///< Between repetitions of an unanswered message.
    Duration m_announceInterval = std::chrono::seconds(2); ///< Between repetitions of ClaimCovered.
    Duration m_outcomeGrace = std::chrono::seconds(1); ///< Waited for an outcome beyond the request's deadline.
    Duration m_recoveredDeadline = std::chrono::minutes(2); ///< Of an in-flight key that a new holder learnt of.
    std::size_t m_maximumRecords = 150'000; ///< Kept by one entry, held, dispatched and mirrored together.
    std::size_t m_maximumTickets = 10'000; ///< Requests of one entry that wait for their claim.
    std::size_t m_maximumOutcomes = 20'000; ///< Not confirmed by holders; beyond it "not run" is told only once.
    std::size_t m_maximumAnswerBytes = std::size_t { 64 } << 10; ///< A larger answer is not kept for replays.
    std::size_t m_maximumAnswerTotal = std::size_t { 32 } << 20; ///< Bytes of all answers kept by one entry.
    std::size_t m_maximumWaiters = 16; ///< Concurrent retries of one key that wait for its answer.
    std::size_t m_mirrorBatch = 256; ///< Copies sent at most by one tick after a removal.
};

} // namespace hemlockvane
