#pragma once

#include "hemlockvane/detail/control/JobPermits.h"

#include <boost/asio/awaitable.hpp>

namespace hemlockvane::wire {
class Envelope;
} // namespace hemlockvane::wire

namespace hemlockvane::detail {

struct TrafficState;

/// @brief Handles a message of an escrow holder: grants and report requests. Runs on the traffic thread.
auto handleEscrowMessage(TrafficState& traffic, const wire::Envelope& envelope) -> void;

/// @brief Periodically dispatches queued requests and exchanges permits with the escrow holders. Runs on the traffic
/// thread until the process stops.
auto runDispatchLoop(TrafficState& traffic) -> boost::asio::awaitable<void>;

/// @brief Makes the functions with which the control thread takes and returns permits for jobs. They are safe to call
/// on the control thread.
auto makeJobPermits(TrafficState& traffic) -> JobPermits;

} // namespace hemlockvane::detail
