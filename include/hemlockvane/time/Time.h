#pragma once

#include <chrono>
#include <cstdint>

namespace hemlockvane {

/// @brief Type of the monotonic clock, which also runs while the machine is suspended.
///
/// It has no now(): code that decides takes the current time as a parameter, so that tests can set it.
struct MonotonicClock {
    using duration = std::chrono::milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock, duration>;
};

using Duration = std::chrono::milliseconds;

/// @brief Point in time on the monotonic clock of one process, in milliseconds.
using Instant = MonotonicClock::time_point;

/// @brief Wall clock time in milliseconds since 1970-01-01 UTC, as in the time stamps of records.
using WallMillis = std::int64_t;

} // namespace hemlockvane
