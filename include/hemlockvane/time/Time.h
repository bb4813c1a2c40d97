#pragma once

#include <chrono>
#include <cstdint>

namespace hemlockvane {

/// @brief Tag of the monotonic clock that also counts suspend. Decisions never read it: they are given `now`.
struct MonotonicClock {
    using duration = std::chrono::milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock, duration>;
};

using Duration = std::chrono::milliseconds;

/// @brief Point on the monotonic clock of one process, in milliseconds.
using Instant = MonotonicClock::time_point;

/// @brief Wall clock in milliseconds since 1970-01-01 UTC, as stamped into records.
using WallMillis = std::int64_t;

} // namespace hemlockvane
