#pragma once

#include "hemlockvane/detail/control/TrafficView.h"
#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/detail/traffic/Caller.h"
#include "hemlockvane/errors/FailureReason.h"

#include <optional>
#include <string_view>

namespace hemlockvane::detail {

/// @brief Determines the caller of a request from its key. Call this immediately before acting on the caller's behalf.
/// @param queue queue of the request; an open queue accepts requests without a key
/// @param reason receives NotVouched, UnknownKey, WithdrawnKey or WrongTeam; all of these mean that nothing was run
/// @result empty when the request is refused
auto authenticate(const TrafficView& view, const HttpRequest& request, std::string_view queue, Instant now,
    FailureReason& reason) -> std::optional<Caller>;

/// @brief Checks immediately before a request is sent that its caller's key is still valid and its deadline not passed.
/// @param reason receives NotVouched, WithdrawnKey or DeadlinePassed
/// @result true when the request may be sent
auto mayStillSend(const TrafficView& view, const Caller& caller, Instant deadline, Instant now, FailureReason& reason)
    -> bool;

} // namespace hemlockvane::detail
