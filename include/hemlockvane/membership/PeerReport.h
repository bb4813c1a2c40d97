#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <optional>

namespace hemlockvane {

/// @brief What a peer answered to a beat.
struct PeerReport {
    Instant m_requestedAt; ///< When this entry sent the beat that was answered.
    Offset m_foldedEnd = 0; ///< Next offset that the peer folds, or a later one that it knows of.
    bool m_logReachable = false; ///< It reads the log, as readsLog tells there.
    std::optional<Duration> m_logReadAge; ///< Since the peer sent its last read that reached the log's end.
};

} // namespace hemlockvane
