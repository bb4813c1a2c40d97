#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <map>
#include <set>
#include <string>

namespace hemlockvane {

/// @brief What the holder of the maintenance duty remembers between plans; lost with it without harm.
struct WavePlanState {
    Offset m_epoch = 0; ///< Of the duty.
    std::set<std::string, std::less<>> m_inFlight; ///< Instances and waves with a record on its way to the log.
    std::map<std::string, WallMillis, std::less<>> m_rebootSentAt; ///< By draining instance.
    std::map<std::string, WallMillis, std::less<>> m_mismatchSince; ///< Instances whose health differs from the fold.
    double m_meanDrainMs = 0; ///< Of the drains seen to end well; 0: none yet.
};

} // namespace hemlockvane
