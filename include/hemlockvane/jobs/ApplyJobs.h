#pragma once

#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/log/FoldContext.h"

#include <optional>
#include <string_view>

namespace hemlockvane::wire {
class SubmitJob;
class CancelJobs;
class PlaceJob;
class EndAttempt;
} // namespace hemlockvane::wire

namespace hemlockvane {

struct FleetState;

/// @brief Name of the duty whose holder places jobs and ends their attempts.
inline constexpr std::string_view placementDuty = "placement";

/// @brief Applies a jobs record to the state, or rejects it.
/// @param reason receives the kind and text of a rejection
/// @result the offset at which the record was accepted, empty when rejected
auto apply(FleetState& state, const wire::SubmitJob& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;
auto apply(FleetState& state, const wire::CancelJobs& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;
auto apply(FleetState& state, const wire::PlaceJob& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;
auto apply(FleetState& state, const wire::EndAttempt& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;

} // namespace hemlockvane
