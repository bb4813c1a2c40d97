#pragma once

#include "hemlockvane/errors/ErrorKind.h"
#include "hemlockvane/routing/FailedAttempt.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane {

struct RetryBudget;

/// @brief Maximum number of attempts for one request.
inline constexpr std::uint32_t maximumAttempts = 3;

/// @brief Whether a failed attempt is retried; if not, the error that is answered at once.
struct RetryDecision {
    bool m_retry = false;
    ErrorKind m_answer = ErrorKind::None;
};

/// @brief Decides whether a failed attempt is retried.
///
/// A request is sent again only if it is repeatable or was certainly not run, if another run can end before the
/// deadline and if the budget allows it. "Not run" is answered only if that is certain.
auto decideRetry(const FailedAttempt& attempt, RetryBudget& budget, Instant now) -> RetryDecision;

} // namespace hemlockvane
