#pragma once

#include <boost/asio/awaitable.hpp>

#include <string>

namespace hemlockvane::detail {

struct ControlCore;

/// @brief Reads the platform's instance list periodically; ends when the process stops.
auto watchInstances(ControlCore& core) -> boost::asio::awaitable<void>;

/// @brief Joins the fleet, then plans changes of members and duties periodically; ends when a planned stop begins.
auto runMembership(ControlCore& core) -> boost::asio::awaitable<void>;

/// @brief Sends a heartbeat to every other member now.
auto sendHeartbeat(ControlCore& core) -> void;

/// @brief Sends heartbeats to every other member periodically; ends when the process stops.
auto sendHeartbeats(ControlCore& core) -> boost::asio::awaitable<void>;

/// @brief Marks this entry as leaving in the platform's instance list.
auto announceLeaving(ControlCore& core) -> boost::asio::awaitable<void>;

/// @brief Releases all duties and leaves the fleet. Returns when this was read back from the log, the log cannot be
/// reached, or the handover timeout has passed.
auto leaveFleet(ControlCore& core) -> boost::asio::awaitable<void>;

/// @brief Registers the membership handlers for folds and peers' messages.
auto attachMembership(ControlCore& core) -> void;

} // namespace hemlockvane::detail
