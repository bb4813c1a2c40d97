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

/// @brief Finds the state of a service by its name.
/// @result null when no executor of the service has been listed yet
auto findService(TrafficState& traffic, std::string_view service) -> ServiceState*;

/// @brief Waits in the service's queue until the request has a slot at an executor and a permit of its team.
/// @param tried executors to which earlier attempts sent the request
/// @param reason receives QueueFull, DeadlinePassed, NoCapacity or OverLimit; the request is certainly not run
/// @param retryAfter receives the time after which the caller may retry
/// @result id of the executor, empty when the request left the queue without a slot
auto acquireSlot(TrafficState& traffic, ServiceState& service, const QueueRequest& request,
    std::vector<std::string> tried, FailureReason& reason, Duration& retryAfter)
    -> boost::asio::awaitable<std::optional<std::string>>;

/// @brief Releases the slot and the team's permit after an attempt.
/// @param ranFor duration of the attempt
auto releaseSlot(TrafficState& traffic, ServiceState& service, std::string_view team, std::string_view executor,
    Duration ranFor) -> void;

/// @brief Applies the current view: the executors when the instance list has changed; queue depths, team weights and
/// connection limits every 500 ms. Called every few milliseconds.
auto applyView(TrafficState& traffic) -> void;

/// @brief Dispatches queued requests of all services to free slots and sheds those whose deadline passed or cannot be
/// met.
auto dispatchAll(TrafficState& traffic) -> void;

} // namespace hemlockvane::detail
