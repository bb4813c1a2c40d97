#pragma once

#include "hemlockvane/log/FoldContext.h"

namespace hemlockvane::detail {

/// @brief Content of a peer's last heartbeat, as shown to operators.
struct PeerStatus {
    Instant m_heardAt;
    Offset m_foldedEnd = 0;
    Offset m_configurationVersion = 0;
};

} // namespace hemlockvane::detail
