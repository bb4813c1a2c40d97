#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane {

/// @brief How an attempt failed.
enum class AttemptFailure : std::uint8_t {
    NotSent, ///< Certainly no byte of the request was sent.
    Refused, ///< The executor sent a complete answer that it did not run the request.
    Lost, ///< Bytes may have been sent and no complete answer was received.
};

/// @brief A failed attempt to run a request.
struct FailedAttempt {
    AttemptFailure m_failure = AttemptFailure::Lost;
    bool m_repeatable = false; ///< The caller allows the request to run more than once.
    std::uint32_t m_attempts = 1; ///< Attempts made so far, this one included.
    Instant m_deadline;
    Duration m_expectedRun { 0 };
};

} // namespace hemlockvane
