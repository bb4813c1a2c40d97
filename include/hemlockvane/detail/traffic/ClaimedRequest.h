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

/// @brief Asks the claim of a request with an Idempotency-Key and waits for it, from the traffic thread.
auto claimRequest(TrafficState& traffic, const QueueRequest& request) -> boost::asio::awaitable<ClaimWait>;

/// @brief The answer to a request that is not to be dispatched: a replay or an error.
auto replyResponse(const ClaimReply& reply) -> HttpResponse;

/// @brief Tells the outcome of a dispatched request.
/// @param response the whole answer, empty when there is none
auto reportOutcome(TrafficState& traffic, std::uint64_t ticket, ClaimResult result,
    const std::optional<HttpResponse>& response) -> void;

} // namespace hemlockvane::detail
