#pragma once

#include "hemlockvane/errors/ErrorKind.h"
#include "hemlockvane/routing/FailedAttempt.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane {

struct RetryBudget;

/// @brief Attempts of one request at most.
inline constexpr std::uint32_t maximumAttempts = 3;

/// @brief Whether a failed attempt is followed by another; if not, the final answer, which is given at once.
struct RetryDecision {
    bool m_retry = false;
    ErrorKind m_answer = ErrorKind::None;
};

/// @brief Decides on a failed attempt.
///
/// A request is sent again only when it may be repeated or was certainly not run, when another run can end before the
/// deadline, and when the budget allows. "Not run" is answered only when that is certain.
auto decideRetry(const FailedAttempt& facts, RetryBudget& budget, Instant now) -> RetryDecision;

} // namespace hemlockvane
