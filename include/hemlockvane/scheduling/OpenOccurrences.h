#pragma once

#include "hemlockvane/scheduling/Job.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane::scheduling {

struct Scheduler;

/// @brief Makes the state of an occurrence; of one that is done, with all its tasks done.
[[nodiscard]] auto makeOccurrence(const Job& job, std::uint32_t number) -> Occurrence;

/// @brief Whether an executor may still have a run of the occurrence.
[[nodiscard]] auto hasRuns(const Occurrence& occurrence) -> bool;

/// @brief Occurrence of a job, created if it does not exist yet.
/// @result null when the job has no such occurrence
auto ensureOccurrence(Job& job, std::uint32_t number) -> Occurrence*;

/// @brief Opens the occurrences that are due, in their order, as many as the limits for one job allow.
///
/// Any number may be due at once: the caller chooses the first time, the interval and how many there are. Those that
/// are not open yet take no memory; the next ones are opened as tasks of the earlier ones are started or end.
auto openDueOccurrences(Job& job, WallMillis wall) -> void;

/// @brief Notes that an occurrence is done.
auto markOccurrenceDone(Job& job, std::uint32_t number) -> void;

/// @brief Releases what is not needed of occurrences that are done, and of a job that has ended, once they have no
/// runs. The job must have no start candidates, which point to its occurrences.
auto releaseMemory(Scheduler& scheduler, Job& job) -> void;

} // namespace hemlockvane::scheduling
