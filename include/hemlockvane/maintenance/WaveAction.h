#pragma once

#include "hemlockvane/log/FoldContext.h"
#include "hemlockvane/maintenance/WaveActionKind.h"

#include <string>

namespace hemlockvane {

/// @brief One action of a maintenance plan, to be carried out by the driver.
struct WaveAction {
    WaveActionKind m_kind = WaveActionKind::BeginDrain;
    std::string m_wave; ///< Empty for MarkInstance.
    std::string m_instance; ///< Empty for PauseWave.
    Offset m_fenceEpoch = 0; ///< Epoch of the maintenance duty.
    bool m_healthy = false; ///< EndDrain and MarkInstance only.
    std::string m_reason;
};

} // namespace hemlockvane
