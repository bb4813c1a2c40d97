#pragma once

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/placement/PlacementAction.h"
#include "hemlockvane/placement/PlacementState.h"
#include "hemlockvane/placement/WorkerReport.h"

#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief Begins the holder's work under an epoch; everything else is learned from reports.
/// @param now not before every earlier holder has stopped
auto beginPlacement(PlacementState& state, Offset epoch, Instant now) -> void;

/// @brief Takes a worker's report: renews its lease, starts what it should run, ends what ended, stops what it should
/// not run. The shell sends the answer only while it is vouched for.
/// @complexity logarithmic in the running jobs for each task
auto onReport(const FleetState& fleet, PlacementState& state, const WorkerReport& report, Instant now)
    -> std::vector<PlacementAction>;

/// @brief Takes the read-back of an accepted PlaceJob: the worker may now be told to start.
/// @result StartTask, or nothing while the worker was not heard within its lease's term
auto onPlaced(const FleetState& fleet, PlacementState& state, std::string_view job, Instant now)
    -> std::vector<PlacementAction>;

/// @brief Takes the outcome of a PlaceJob or EndAttempt that was refused by the fold or certainly not recorded.
auto onNotRecorded(PlacementState& state, std::string_view job) -> void;

/// @brief Takes the read-back of an accepted EndAttempt, after it was folded.
/// @param worker where the attempt ran; empty when the job was waiting
/// @param outcome of the attempt
auto onEnded(const FleetState& fleet, PlacementState& state, std::string_view job, std::string_view worker,
    AttemptOutcome outcome, Instant now) -> void;

/// @brief Ends the attempts whose worker must have stopped them: its lease lapsed and drift was allowed for, or it
/// restarted since. A job that may not be repeated is parked.
/// @complexity linear in the running jobs
auto endLostAttempts(const FleetState& fleet, PlacementState& state, Instant now) -> std::vector<PlacementAction>;

} // namespace hemlockvane
