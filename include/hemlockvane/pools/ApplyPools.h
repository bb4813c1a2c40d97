#pragma once

#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/log/FoldContext.h"

#include <optional>

namespace hemlockvane::wire {
class AddInstance;
class RemoveInstance;
class MoveInstance;
class MarkInstance;
} // namespace hemlockvane::wire

namespace hemlockvane {

struct FleetState;

/// @brief Applies a pools record to the state, or rejects it.
/// @param reason receives the kind and text of a rejection
/// @result the offset at which the record was accepted, empty when rejected
auto apply(FleetState& state, const wire::AddInstance& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;
auto apply(FleetState& state, const wire::RemoveInstance& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;
auto apply(FleetState& state, const wire::MoveInstance& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;
auto apply(FleetState& state, const wire::MarkInstance& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;

} // namespace hemlockvane
