#include "hemlockvane/detail/clock/Clock.h"

#include <ctime>

namespace hemlockvane::detail {

namespace {

constexpr std::int64_t millisPerSecond = 1000;
constexpr std::int64_t nanosPerMilli = 1000000;

auto readClock(clockid_t clock) -> std::int64_t
{
    timespec value {};
    clock_gettime(clock, &value);
    return value.tv_sec * millisPerSecond + value.tv_nsec / nanosPerMilli;
}

} // namespace

auto monotonicNow() -> Instant { return Instant(Duration(readClock(CLOCK_BOOTTIME))); }

auto wallNow() -> WallMillis { return readClock(CLOCK_REALTIME); }

} // namespace hemlockvane::detail
