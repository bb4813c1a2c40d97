#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <optional>

namespace hemlockvane {

/// @brief A peer's answer to a heartbeat.
struct PeerReport {
    Instant m_requestedAt; ///< When this entry sent the heartbeat.
    Offset m_foldedEnd = 0; ///< Next offset that the peer folds, or a later end of the log that it has seen.
    bool m_logReachable = false; ///< Result of readsLog at the peer.
    std::optional<Duration> m_logReadAge; ///< Result of logReadAge at the peer.
};

} // namespace hemlockvane
