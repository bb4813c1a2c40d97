#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane::scheduling {

struct Executor;

/// @brief Whether an executor is to be polled at all: it has runs, or ends that it does not know to be stored, or it
/// did not answer the last poll and is still listed.
[[nodiscard]] auto needsPoll(const Executor& executor) -> bool;

/// @brief Returns the time after a poll without an answer until the next one.
[[nodiscard]] auto unansweredPollPause(const Executor& executor) -> Duration;

/// @brief Returns the shortest time between two polls of an executor.
///
/// Answers the load of an owner that is behind: it then polls less often, and one answer contains the ends of several
/// runs, so that its work for each run becomes less.
/// @param loopDelay how late the event loop resumes timers at present
[[nodiscard]] auto pollSpacing(Duration loopDelay) -> Duration;

/// @brief Returns the longest time for which an executor is not polled while ends that it has reported are being
/// stored.
///
/// A poll before they are stored would report them again, at once and without anything new. A poll after this time
/// extends the leases of its runs, however slow the store is.
[[nodiscard]] auto longestPollPause() -> Duration;

/// @brief Returns the delay of the event loop after another timer, which was resumed `late` after its time.
[[nodiscard]] auto updateLoopDelay(Duration loopDelay, Duration late) -> Duration;

} // namespace hemlockvane::scheduling
