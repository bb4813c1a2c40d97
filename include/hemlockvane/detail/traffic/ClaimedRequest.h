#pragma once

#include "hemlockvane/claims/ClaimResult.h"
#include "hemlockvane/detail/control/ClaimWait.h"
#include "hemlockvane/detail/http/HttpResponse.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace hemlockvane::detail {

struct QueueRequest;
struct TrafficState;

/// @brief Claims the Idempotency-Key of a request on the control thread and waits for the result. Runs on the traffic
/// thread.
auto claimRequest(TrafficState& traffic, const QueueRequest& request) -> boost::asio::awaitable<ClaimWait>;

/// @brief Makes the response to a request that is not dispatched: the recorded response of an earlier attempt, or an
/// error.
auto replyResponse(const ClaimReply& reply) -> HttpResponse;

/// @brief Reports the outcome of a dispatched request to its claim.
/// @param response complete response of the executor, empty when there is none
auto reportOutcome(TrafficState& traffic, std::uint64_t ticket, ClaimResult result,
    const std::optional<HttpResponse>& response) -> void;

} // namespace hemlockvane::detail
