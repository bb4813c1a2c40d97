#include "hemlockvane/routing/RetryDecision.h"

#include "hemlockvane/routing/RetryBudget.h"

namespace hemlockvane {

namespace {

auto finalAnswer(const FailedAttempt& facts, bool inTime) -> ErrorKind
{
    if (facts.m_failure == AttemptFailure::Lost)
        return facts.m_repeatable ? ErrorKind::AnswerLost : ErrorKind::OutcomeUnknown;
    return inTime ? ErrorKind::NoCapacity : ErrorKind::DeadlinePassed;
}

} // namespace

auto decideRetry(const FailedAttempt& facts, RetryBudget& budget, Instant now) -> RetryDecision
{
    const auto allowed = facts.m_repeatable || facts.m_failure != AttemptFailure::Lost;
    const auto inTime = now + facts.m_expectedRun < facts.m_deadline;
    if (allowed && inTime && facts.m_attempts < maximumAttempts && spendRetry(budget))
        return { true, ErrorKind::None };
    return { false, finalAnswer(facts, inTime) };
}

} // namespace hemlockvane
