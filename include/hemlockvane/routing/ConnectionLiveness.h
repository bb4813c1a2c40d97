#pragma once

#include "hemlockvane/routing/ConnectionTimeoutActions.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <map>

namespace hemlockvane {

/// @brief One entry's connections to one executor, with the time of the last byte received on each.
struct ConnectionLiveness {
    std::map<std::uint64_t, Instant> m_lastReceivedAt; ///< By connection id.
    Instant m_nextProbeAt; ///< No probe is started before this time.
};

/// @brief A connection was opened, or a byte was received on it.
auto onBytesReceived(ConnectionLiveness& liveness, std::uint64_t connection, Instant now) -> void;

/// @brief A connection was closed.
auto onConnectionClosed(ConnectionLiveness& liveness, std::uint64_t connection) -> void;

/// @brief A request timed out without a byte received on its connection.
///
/// The connection is closed, and so is every other one that has received nothing since the request was sent: whatever
/// lost the state of this connection, such as a network device, may have lost theirs too. The timeout does not count as
/// a failure of the executor until the probe fails.
/// @param sentAt when the request was sent
auto onConnectionTimeout(ConnectionLiveness& liveness, std::uint64_t connection, Instant sentAt, Duration probeInterval,
    Instant now) -> ConnectionTimeoutActions;

} // namespace hemlockvane
