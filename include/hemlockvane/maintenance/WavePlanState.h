#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <map>
#include <set>
#include <string>

namespace hemlockvane {

/// @brief State that the holder of the maintenance duty keeps between plans. It is not persisted; a new holder may
/// start without it.
struct WavePlanState {
    Offset m_epoch = 0; ///< Epoch of the maintenance duty.
    std::set<std::string, std::less<>> m_inFlight; ///< Instances and waves with a record in flight to the log.
    std::map<std::string, WallMillis, std::less<>> m_rebootSentAt; ///< By draining instance.
    std::map<std::string, WallMillis, std::less<>>
        m_mismatchSince; ///< By instance: since when its health differs from the fold.
    double m_meanDrainMs = 0; ///< Exponential moving average over successful drains; 0: none yet.
};

} // namespace hemlockvane
