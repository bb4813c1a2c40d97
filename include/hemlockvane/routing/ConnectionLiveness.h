#pragma once

#include "hemlockvane/routing/ConnectionTimeoutActions.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <map>

namespace hemlockvane {

/// @brief One entry's connections to one executor and when each last brought a byte.
struct ConnectionLiveness {
    std::map<std::uint64_t, Instant> m_lastReceivedAt; ///< By connection id.
    Instant m_nextProbeAt; ///< No second probe before then.
};

/// @brief A connection was opened or brought a byte.
auto onBytesReceived(ConnectionLiveness& liveness, std::uint64_t connection, Instant now) -> void;

/// @brief A connection was closed.
auto onConnectionClosed(ConnectionLiveness& liveness, std::uint64_t connection) -> void;

/// @brief A request's time passed without a byte on its connection.
///
/// Closes it and every other connection that has brought nothing since the request was sent: whatever lost track of the
/// one may have lost the others. The executor is not blamed yet; the probe decides.
/// @param sentAt when the request was sent
auto onConnectionTimeout(ConnectionLiveness& liveness, std::uint64_t connection, Instant sentAt, Duration probeInterval,
    Instant now) -> ConnectionTimeoutActions;

} // namespace hemlockvane
