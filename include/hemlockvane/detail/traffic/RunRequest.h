#pragma once

#include "hemlockvane/detail/traffic/RequestOutcome.h"

#include <boost/asio/awaitable.hpp>

namespace hemlockvane::detail {

struct QueueRequest;
struct TrafficShell;

/// @brief Takes a request through the queue to an executor, as often as it may be sent, until it has its answer.
auto runRequest(TrafficShell& shell, const QueueRequest& request) -> boost::asio::awaitable<RequestOutcome>;

} // namespace hemlockvane::detail
