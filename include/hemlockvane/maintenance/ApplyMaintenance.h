#pragma once

#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/log/FoldContext.h"

#include <optional>
#include <string_view>

namespace hemlockvane::wire {
class StartWave;
class PauseWave;
class BeginDrain;
class EndDrain;
} // namespace hemlockvane::wire

namespace hemlockvane {

struct FleetState;

/// @brief Name of the duty whose holder drains instances.
inline constexpr std::string_view maintenanceDuty = "maintenance";

/// @brief Applies a maintenance record to the state, or rejects it.
/// @param reason receives the kind and text of a rejection
/// @result the offset at which the record was accepted, empty when rejected
auto apply(FleetState& state, const wire::StartWave& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;
auto apply(FleetState& state, const wire::PauseWave& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;
auto apply(FleetState& state, const wire::BeginDrain& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;
auto apply(FleetState& state, const wire::EndDrain& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;

} // namespace hemlockvane
