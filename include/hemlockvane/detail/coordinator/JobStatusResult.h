#pragma once

#include "hemlockvane/scheduling/JobPhase.h"

namespace hemlockvane::detail {

/// @brief What is known of a job.
struct JobStatusResult {
    bool m_isKnown = false;
    scheduling::JobPhase m_phase = scheduling::JobPhase::Queued; ///< When known.
};

} // namespace hemlockvane::detail
