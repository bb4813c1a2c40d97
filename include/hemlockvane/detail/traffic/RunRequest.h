#pragma once

#include "hemlockvane/detail/traffic/RequestOutcome.h"

#include <boost/asio/awaitable.hpp>

namespace hemlockvane::detail {

struct QueueRequest;
struct TrafficState;

/// @brief Takes a request through the queue to an executor, as often as it may be sent, until it has its answer.
auto runRequest(TrafficState& traffic, const QueueRequest& request) -> boost::asio::awaitable<RequestOutcome>;

} // namespace hemlockvane::detail
