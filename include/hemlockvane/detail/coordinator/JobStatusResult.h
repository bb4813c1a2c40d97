#pragma once

#include "hemlockvane/scheduling/JobPhase.h"

namespace hemlockvane::detail {

/// @brief Status of a job, if the job is known.
struct JobStatusResult {
    bool m_isKnown = false;
    scheduling::JobPhase m_phase = scheduling::JobPhase::Queued; ///< Valid if the job is known.
};

} // namespace hemlockvane::detail
