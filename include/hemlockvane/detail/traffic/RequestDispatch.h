#pragma once

#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/time/Time.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane::detail {

struct QueueRequest;
struct ServiceState;
struct TrafficState;

/// @brief The service of a service.
/// @result null when no executor of the service is known
auto findService(TrafficState& traffic, std::string_view service) -> ServiceState*;

/// @brief Waits in the service's queue until the request has a slot at an executor and a permit of its team.
/// @param tried executors that it was sent to before
/// @param reason receives QueueFull, DeadlinePassed, NoCapacity or OverLimit; the request is certainly not run
/// @param retryAfter receives when the caller may come back
/// @result id of the executor
auto acquireSlot(TrafficState& traffic, ServiceState& service, const QueueRequest& request,
    std::vector<std::string> tried, FailureReason& reason, Duration& retryAfter)
    -> boost::asio::awaitable<std::optional<std::string>>;

/// @brief Gives a slot and the team's permit back after an attempt.
auto releaseSlot(TrafficState& traffic, ServiceState& service, std::string_view team, std::string_view executor,
    Duration ranFor) -> void;

/// @brief Brings queues, executors and weights in line with the view; called every few milliseconds.
auto applyView(TrafficState& traffic) -> void;

/// @brief Dispatches what waits and has room, and sheds what is too late.
auto dispatchAll(TrafficState& traffic) -> void;

} // namespace hemlockvane::detail
