#pragma once

#include "hemlockvane/detail/control/TrafficView.h"
#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/detail/traffic/Caller.h"
#include "hemlockvane/errors/FailureReason.h"

#include <optional>
#include <string_view>

namespace hemlockvane::detail {

/// @brief Finds the caller of a request from its key; to be asked right before each act done for the caller.
/// @param queue an open queue takes requests without a key
/// @param reason receives NotVouched, UnknownKey, WithdrawnKey or WrongTeam; each claims truthfully that nothing was
/// run
auto authenticate(const TrafficView& view, const HttpRequest& request, std::string_view queue, Instant now,
    FailureReason& reason) -> std::optional<Caller>;

/// @brief Asked right before the first byte of a request leaves: its caller's key is still good and time is left.
/// @param reason receives NotVouched, WithdrawnKey or DeadlinePassed
auto mayStillSend(const TrafficView& view, const Caller& caller, Instant deadline, Instant now, FailureReason& reason)
    -> bool;

} // namespace hemlockvane::detail
