#pragma once

#include "hemlockvane/time/Time.h"

#include <string_view>

namespace hemlockvane::scheduling {

struct Action;
struct Scheduler;
struct TaskRun;

/// @brief Whether another start of a service may be decided; false while as many as the window holds are in flight.
///
/// What is decided later goes to whoever needs it most by then. Each service may have a few in flight, so that none
/// waits for the others beside idle executors of its own.
auto mayDecideStart(Scheduler& scheduler, std::string_view service) -> bool;

/// @brief Counts a run as in flight whose start was just decided.
auto noteStartDecided(Scheduler& scheduler, TaskRun& run) -> void;

/// @brief Notes that the run of a start is stored; from now on only the owner and the executor delay it.
auto noteStartStored(Scheduler& scheduler, const Action& start, Instant now) -> void;

/// @brief Measures the delay of a start that its executor has confirmed, and adapts the window to it.
auto confirmStart(Scheduler& scheduler, TaskRun& run, Instant now) -> void;

/// @brief Ends the flight of a start that was refused, lost or given up, if it has not ended.
auto endFlight(Scheduler& scheduler, TaskRun& run) -> void;

/// @brief Ends the flight of a start whose executor did not answer: the owner does not delay it.
auto noteStartUnanswered(Scheduler& scheduler, const Action& start, Instant now) -> void;

/// @brief Upper estimate of the time from the decision of a start to its confirmation.
auto startDelay(const Scheduler& scheduler) -> Duration;

} // namespace hemlockvane::scheduling
