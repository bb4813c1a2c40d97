#include "hemlockvane/scheduling/PollSchedule.h"

#include "hemlockvane/scheduling/Executor.h"

#include <algorithm>

namespace hemlockvane::scheduling {

namespace {

constexpr Duration shortestSpacing { 25 };
constexpr Duration longestSpacing { 250 }; // Capacity that has become free is not noticed for longer than this.
constexpr int spacingPerDelay = 3;
constexpr Duration pauseWhileStoring { 900 }; // A lease lasts for several polls.
constexpr Duration retryPause { 150 }; // A lease allows for several polls without an answer.
constexpr Duration idleRetryPause { 500 }; // Without runs nothing is lost but the executor's capacity.
constexpr int delaySmoothing = 8; // The delay follows about this many timers.

} // namespace

auto needsPoll(const Executor& executor) -> bool
{
    if (executor.m_isTerminated || (!executor.m_isRegistered && executor.m_runs.empty()))
        return false;
    // Only an answer shows that a silent executor can be used again.
    return executor.m_isUnresponsive || !executor.m_isReconciled || !executor.m_runs.empty()
        || executor.m_appliedEnd > executor.m_acknowledgedEnd || !executor.m_unacknowledgedEnds.empty();
}

auto unansweredPollPause(const Executor& executor) -> Duration
{
    return executor.m_runs.empty() ? idleRetryPause : retryPause;
}

auto pollSpacing(Duration loopDelay) -> Duration
{
    return std::min(shortestSpacing + loopDelay * spacingPerDelay, longestSpacing);
}

auto longestPollPause() -> Duration { return pauseWhileStoring; }

auto updateLoopDelay(Duration loopDelay, Duration late) -> Duration
{
    return (loopDelay * (delaySmoothing - 1) + late) / delaySmoothing;
}

} // namespace hemlockvane::scheduling
