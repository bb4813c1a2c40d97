#pragma once

#include "hemlockvane/log/FoldContext.h"

namespace hemlockvane {

/// @brief Availability of the sources from which an instance can get its state.
struct BootstrapView {
    bool m_logReachable = false;
    Offset m_oldestOffset = 0; ///< Offset of the oldest record that the log keeps.
    bool m_snapshotUsable = false; ///< The log holds a complete snapshot that can be loaded.
    Offset m_snapshotEndOffset = 0; ///< Next offset to fold after that snapshot.
    bool m_peerAvailable = false; ///< A peer that has the state can be reached.
};

} // namespace hemlockvane
