#pragma once

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/placement/AttemptOutcome.h"
#include "hemlockvane/placement/PlacementState.h"

#include <string_view>

namespace hemlockvane {

/// @brief Updates the reliability of workers from one ended attempt.
///
/// Failures in a row make a worker suspect, unless most attempts of the same queue fail on other workers too. Failures
/// of jobs that later finish on another worker lead to quarantine; a job that fails everywhere never does.
auto recordAttemptOutcome(const FleetState& fleet, PlacementState& state, std::string_view job, std::string_view worker,
    AttemptOutcome outcome, Instant now) -> void;

/// @brief True while a worker is quarantined, so that it receives no new jobs.
auto isQuarantined(const PlacementState& state, std::string_view worker, Instant now) -> bool;

/// @brief True while a worker receives no new jobs because it refused a task.
auto isInRefusalBackoff(const PlacementState& state, std::string_view worker, Instant now) -> bool;

/// @brief True when several attempts in a row failed on a worker, so that it receives only repeatable jobs.
auto isSuspect(const PlacementState& state, std::string_view worker) -> bool;

/// @brief Counts the distinct workers on which a job failed and that are neither suspect nor quarantined.
auto countReliableWorkersFailedOn(const PlacementState& state, const JobRecord& job, Instant now) -> std::uint32_t;

} // namespace hemlockvane
