#pragma once

#include "hemlockvane/detail/control/JobPermits.h"

#include <boost/asio/awaitable.hpp>

namespace hemlockvane::wire {
class Envelope;
} // namespace hemlockvane::wire

namespace hemlockvane::detail {

struct TrafficState;

/// @brief Takes a message of an escrow holder: grants and report requests. Runs on the traffic thread.
auto handleEscrowMessage(TrafficState& traffic, const wire::Envelope& envelope) -> void;

/// @brief Runs queues and permits on the traffic thread's clock; ends when the process stops.
auto runDispatchLoop(TrafficState& traffic) -> boost::asio::awaitable<void>;

/// @brief The control thread's way to permits for jobs, safe to call there.
auto makeJobPermits(TrafficState& traffic) -> JobPermits;

} // namespace hemlockvane::detail
