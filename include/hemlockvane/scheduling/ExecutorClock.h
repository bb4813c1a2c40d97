#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane::scheduling {

struct Executor;

/// @brief Lower bound of an executor's clock, in ms; executors' clocks may run slow.
///
/// Leases are granted and expire by this bound: a later time would let a lease outlast the time for which the other
/// owners wait for it.
[[nodiscard]] auto clockLowerBound(const Executor& executor, Instant now) -> std::int64_t;

/// @brief Longest time, on this instance's clock, until a lease granted on an executor's clock has expired.
[[nodiscard]] auto longestTimeOf(Duration lease) -> Duration;

/// @brief Whether the executor is polled when a start there is decided: the answer arrives while the start is stored,
/// so that its lease has nearly the whole length.
[[nodiscard]] auto isClockReadingDue(const Executor& executor, Instant now) -> bool;

/// @brief Whether a start waits for the answer to that poll, since too much of its lease would be lost without it.
[[nodiscard]] auto isClockReadingNeeded(const Executor& executor, Duration lease, Instant now) -> bool;

} // namespace hemlockvane::scheduling
