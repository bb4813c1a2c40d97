#pragma once

#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/log/FoldContext.h"

#include <optional>

namespace hemlockvane::wire {
class SetDefault;
class SetException;
class RemoveException;
} // namespace hemlockvane::wire

namespace hemlockvane {

struct FleetState;

/// @brief Applies one configuration operation to the state, or rejects it.
/// @param reason receives the kind and text of a rejection
/// @result the applied offset, empty when rejected
auto apply(FleetState& state, const wire::SetDefault& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;
auto apply(FleetState& state, const wire::SetException& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;
auto apply(FleetState& state, const wire::RemoveException& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;

} // namespace hemlockvane
