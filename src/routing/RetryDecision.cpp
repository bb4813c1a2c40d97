#include "hemlockvane/routing/RetryDecision.h"

#include "hemlockvane/routing/RetryBudget.h"

namespace hemlockvane {

namespace {

auto finalAnswer(const AttemptFacts& facts, bool inTime) -> ErrorKind
{
    if (facts.m_end == AttemptEnd::Lost)
        return facts.m_repeatable ? ErrorKind::AnswerLost : ErrorKind::OutcomeUnknown;
    return inTime ? ErrorKind::NoCapacity : ErrorKind::DeadlinePassed;
}

} // namespace

auto decideRetry(const AttemptFacts& facts, RetryBudget& budget, Instant now) -> RetryDecision
{
    const auto allowed = facts.m_repeatable || facts.m_end != AttemptEnd::Lost;
    const auto inTime = now + facts.m_expectedRun < facts.m_deadline;
    if (allowed && inTime && facts.m_attempts < maximumAttempts && spendRetry(budget))
        return { true, ErrorKind::None };
    return { false, finalAnswer(facts, inTime) };
}

} // namespace hemlockvane
