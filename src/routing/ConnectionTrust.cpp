#include "hemlockvane/routing/ConnectionTrust.h"

namespace hemlockvane {

auto heardFrom(ConnectionTrust& trust, std::uint64_t connection, Instant now) -> void
{
    trust.m_heardAt[connection] = now;
}

auto forget(ConnectionTrust& trust, std::uint64_t connection) -> void { trust.m_heardAt.erase(connection); }

auto silenceOn(ConnectionTrust& trust, std::uint64_t connection, Instant sentAt, Duration probeInterval, Instant now)
    -> SilenceActions
{
    SilenceActions actions;
    for (const auto& [id, heardAt] : trust.m_heardAt) {
        if (id == connection || heardAt <= sentAt)
            actions.m_close.push_back(id);
    }
    for (const auto id : actions.m_close)
        trust.m_heardAt.erase(id);
    actions.m_probe = now >= trust.m_probeAfter;
    if (actions.m_probe)
        trust.m_probeAfter = now + probeInterval;
    return actions;
}

} // namespace hemlockvane
