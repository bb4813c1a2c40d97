#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <string>

namespace hemlockvane {

/// @brief An entry instance as recorded in the log.
struct EntryRecord {
    std::string m_zone;
    std::string m_address; ///< Endpoint for peers.
    std::string m_trafficAddress; ///< Endpoint for callers, host:port.
    Offset m_joinedAt = 0; ///< Offset plus one of its JoinEntry.
    Offset m_removedAt = 0; ///< Offset plus one of its RemoveEntry; 0 while it is a member.
    WallMillis m_removedAtMs = 0; ///< Clock of the folded state at its removal.
    bool m_planned = false; ///< It recorded its own removal with nothing in flight.
};

} // namespace hemlockvane
