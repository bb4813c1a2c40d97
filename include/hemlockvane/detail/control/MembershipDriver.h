#pragma once

#include <boost/asio/awaitable.hpp>

#include <string>

namespace hemlockvane::detail {

struct ControlCore;

/// @brief Reads the platform's instance list again and again; ends when the process stops.
auto watchInstances(ControlCore& core) -> boost::asio::awaitable<void>;

/// @brief Joins the fleet, then keeps members and duties in order; ends when the process stops.
auto runMembership(ControlCore& core) -> boost::asio::awaitable<void>;

/// @brief Sends a beat to every member now.
auto sendHeartbeat(ControlCore& core) -> void;

/// @brief Sends a beat to every member again and again; ends when the process stops.
auto sendHeartbeats(ControlCore& core) -> boost::asio::awaitable<void>;

/// @brief Shows this entry as leaving on the instance list.
auto announceLeaving(ControlCore& core) -> boost::asio::awaitable<void>;

/// @brief Gives every duty back and leaves the fleet; returns when that was read back or the log is down.
auto leaveFleet(ControlCore& core) -> boost::asio::awaitable<void>;

/// @brief Connects the drivers of this part to the folds and the peers' messages.
auto attachMembership(ControlCore& core) -> void;

} // namespace hemlockvane::detail
