#pragma once

#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/log/FoldContext.h"

#include <optional>

namespace hemlockvane::wire {
class GrantKey;
class WithdrawKey;
} // namespace hemlockvane::wire

namespace hemlockvane {

struct FleetState;

/// @brief Applies one keys record to the state, or rejects it.
/// @param reason receives the kind and text of a rejection
/// @result the record's offset plus one, empty if the record was rejected
auto apply(FleetState& state, const wire::GrantKey& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;
auto apply(FleetState& state, const wire::WithdrawKey& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>;

} // namespace hemlockvane
