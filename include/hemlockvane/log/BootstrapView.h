#pragma once

#include "hemlockvane/log/FoldContext.h"

namespace hemlockvane {

/// @brief What a new instance found out about the sources of its state.
struct BootstrapView {
    bool m_logReachable = false;
    Offset m_oldestOffset = 0; ///< Oldest record that the log keeps.
    bool m_snapshotUsable = false; ///< A scan found a complete snapshot that loads.
    Offset m_snapshotEndOffset = 0; ///< Next offset to fold after it.
    bool m_peerAvailable = false; ///< A peer that has a state answers.
};

} // namespace hemlockvane
