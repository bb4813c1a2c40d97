#pragma once

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/placement/AttemptOutcome.h"
#include "hemlockvane/placement/PlacementState.h"

#include <string_view>

namespace hemlockvane {

/// @brief Learns from one ended attempt who is to blame: a worker for jobs that finish elsewhere, never for a job that
/// fails everywhere.
auto recordAttemptOutcome(const FleetState& fleet, PlacementState& state, std::string_view job, std::string_view worker,
    AttemptOutcome outcome, Instant now) -> void;

/// @brief True while a worker is set aside.
auto isQuarantined(const PlacementState& state, std::string_view worker, Instant now) -> bool;

/// @brief True while a worker that refused a task is given nothing new.
auto isInRefusalBackoff(const PlacementState& state, std::string_view worker, Instant now) -> bool;

/// @brief True when a worker failed several times in a row and is given repeatable jobs only.
auto isSuspect(const PlacementState& state, std::string_view worker) -> bool;

/// @brief Distinct workers that are neither suspect nor set aside on which a job failed.
auto countReliableWorkersFailedOn(const PlacementState& state, const JobRecord& job, Instant now) -> std::uint32_t;

} // namespace hemlockvane
