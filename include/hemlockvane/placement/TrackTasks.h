#pragma once

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/placement/PlacementAction.h"
#include "hemlockvane/placement/PlacementState.h"
#include "hemlockvane/placement/WorkerReport.h"

#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief Resets the state for a new holder of the placement duty, keeping only the limits.
/// @param epoch of the placement duty
/// @param now a time by which every earlier holder has stopped
auto beginPlacement(PlacementState& state, Offset epoch, Instant now) -> void;

/// @brief Handles a worker's report: renews the worker's lease, starts placed tasks that are missing from the report,
/// ends attempts that are reported as ended, and stops tasks that the log does not place there.
///
/// The caller may send the resulting messages only while this instance's membership is confirmed (vouched).
/// @result no action for a report that is older than the last one of the same incarnation
/// @complexity logarithmic in the running jobs for each task
auto onReport(const FleetState& fleet, PlacementState& state, const WorkerReport& report, Instant now)
    -> std::vector<PlacementAction>;

/// @brief Handles the read-back of an accepted PlaceJob, after it was folded.
/// @result StartTask, or nothing when the worker has not reported within the lease term
auto onPlaced(const FleetState& fleet, PlacementState& state, std::string_view job, Instant now)
    -> std::vector<PlacementAction>;

/// @brief Handles a PlaceJob or EndAttempt that the fold refused or that was certainly not recorded. The next plan
/// considers the job again.
auto onNotRecorded(PlacementState& state, std::string_view job) -> void;

/// @brief Handles the read-back of an accepted EndAttempt, after it was folded.
/// @param worker that ran the attempt; empty when the job was waiting
/// @param outcome of the attempt
auto onEnded(const FleetState& fleet, PlacementState& state, std::string_view job, std::string_view worker,
    AttemptOutcome outcome, Instant now) -> void;

/// @brief Ends the attempts whose worker must have stopped them because its lease, plus the allowed clock drift, has
/// expired. The fold then parks a job that is not repeatable.
/// @complexity linear in the running jobs
auto endLostAttempts(const FleetState& fleet, PlacementState& state, Instant now) -> std::vector<PlacementAction>;

} // namespace hemlockvane
