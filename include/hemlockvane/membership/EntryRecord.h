#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <string>

namespace hemlockvane {

/// @brief An entry instance as recorded in the log.
struct EntryRecord {
    std::string m_zone;
    std::string m_address; ///< Peers' endpoint.
    std::string m_trafficAddress; ///< Callers' endpoint, host:port.
    Offset m_joinedAt = 0;
    Offset m_removedAt = 0; ///< 0: it is a member.
    WallMillis m_removedAtMs = 0; ///< Folded clock at its removal.
    bool m_planned = false; ///< It left by itself with nothing in flight.
};

} // namespace hemlockvane
