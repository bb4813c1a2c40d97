#include "hemlockvane/scheduling/ExecutorClock.h"

#include "hemlockvane/scheduling/Executor.h"

namespace hemlockvane::scheduling {

namespace {

constexpr std::int64_t fullPercent = 100;
constexpr std::int64_t slowestClockPercent = 98; // Given by the platform's interface.
constexpr Duration readingValidity { 5000 }; // The bound is then at most 0.1 s behind, a fortieth of a lease.
constexpr int largestLossDivisor = 4; // A lease loses at most this part; the rest allows for several polls.

auto boundOfElapsed(Duration elapsed) -> Duration { return elapsed * slowestClockPercent / fullPercent; }

} // namespace

auto clockLowerBound(const Executor& executor, Instant now) -> std::int64_t
{
    return executor.m_clockMs + boundOfElapsed(now - executor.m_clockReadAt).count();
}

auto longestTimeOf(Duration lease) -> Duration
{
    // Rounded up.
    return (lease * fullPercent + Duration(slowestClockPercent - 1)) / slowestClockPercent;
}

auto isClockReadingDue(const Executor& executor, Instant now) -> bool
{
    return now - executor.m_clockReadAt > readingValidity;
}

auto isClockReadingNeeded(const Executor& executor, Duration lease, Instant now) -> bool
{
    const auto age = now - executor.m_clockReadAt;
    return age - boundOfElapsed(age) > lease / largestLossDivisor;
}

} // namespace hemlockvane::scheduling
