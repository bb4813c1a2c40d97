#pragma once

#include "hemlockvane/detail/traffic/RequestOutcome.h"

#include <boost/asio/awaitable.hpp>

namespace hemlockvane::detail {

struct QueueRequest;
struct TrafficState;

/// @brief Queues a request and sends it to an executor, with retries as permitted, until a complete response arrives.
auto runRequest(TrafficState& traffic, const QueueRequest& request) -> boost::asio::awaitable<RequestOutcome>;

} // namespace hemlockvane::detail
