#include "hemlockvane/routing/RetryDecision.h"

#include "hemlockvane/routing/RetryBudget.h"

namespace hemlockvane {

namespace {

auto finalAnswer(const FailedAttempt& attempt, bool inTime) -> ErrorKind
{
    if (attempt.m_failure == AttemptFailure::Lost)
        return attempt.m_repeatable ? ErrorKind::AnswerLost : ErrorKind::OutcomeUnknown;
    return inTime ? ErrorKind::NoCapacity : ErrorKind::DeadlinePassed;
}

} // namespace

auto decideRetry(const FailedAttempt& attempt, RetryBudget& budget, Instant now) -> RetryDecision
{
    const auto allowed = attempt.m_repeatable || attempt.m_failure != AttemptFailure::Lost;
    const auto inTime = now + attempt.m_expectedRun < attempt.m_deadline;
    if (allowed && inTime && attempt.m_attempts < maximumAttempts && spendRetry(budget))
        return { true, ErrorKind::None };
    return { false, finalAnswer(attempt, inTime) };
}

} // namespace hemlockvane
