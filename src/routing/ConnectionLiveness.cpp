#include "hemlockvane/routing/ConnectionLiveness.h"

namespace hemlockvane {

auto onBytesReceived(ConnectionLiveness& liveness, std::uint64_t connection, Instant now) -> void
{
    liveness.m_lastReceivedAt[connection] = now;
}

auto onConnectionClosed(ConnectionLiveness& liveness, std::uint64_t connection) -> void
{
    liveness.m_lastReceivedAt.erase(connection);
}

auto onConnectionTimeout(ConnectionLiveness& liveness, std::uint64_t connection, Instant sentAt, Duration probeInterval,
    Instant now) -> ConnectionTimeoutActions
{
    ConnectionTimeoutActions actions;
    for (const auto& [id, heardAt] : liveness.m_lastReceivedAt) {
        if (id == connection || heardAt <= sentAt)
            actions.m_close.push_back(id);
    }
    for (const auto id : actions.m_close)
        liveness.m_lastReceivedAt.erase(id);
    actions.m_probe = now >= liveness.m_nextProbeAt;
    if (actions.m_probe)
        liveness.m_nextProbeAt = now + probeInterval;
    return actions;
}

} // namespace hemlockvane
