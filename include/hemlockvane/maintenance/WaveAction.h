#pragma once

#include "hemlockvane/log/FoldContext.h"
#include "hemlockvane/maintenance/WaveActionKind.h"

#include <string>

namespace hemlockvane {

/// @brief One thing for the shell to do for maintenance.
struct WaveAction {
    WaveActionKind m_kind = WaveActionKind::BeginDrain;
    std::string m_wave; ///< Empty for MarkInstance.
    std::string m_instance; ///< Empty for PauseWave.
    Offset m_fenceEpoch = 0; ///< Of the maintenance duty.
    bool m_healthy = false; ///< EndDrain, MarkInstance.
    std::string m_reason;
};

} // namespace hemlockvane
