#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane {

/// @brief How an attempt ended.
enum class AttemptFailure : std::uint8_t {
    NotSent, ///< Certainly no byte of the request left.
    Refused, ///< The executor answered whole that it did not run the request.
    Lost, ///< Bytes may have left and no whole answer came.
};

/// @brief What is known of a request after an attempt failed.
struct FailedAttempt {
    AttemptFailure m_failure = AttemptFailure::Lost;
    bool m_repeatable = false; ///< The caller allows it to run more than once.
    std::uint32_t m_attempts = 1; ///< Made so far.
    Instant m_deadline;
    Duration m_expectedRun { 0 };
};

} // namespace hemlockvane
