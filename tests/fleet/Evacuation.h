#pragma once

#include "StartedRun.h"

#include <cstdint>
#include <string>

namespace hemlockvane::fleetrun {

/// @brief One evacuation of an availability zone; times in ms since the begin of the play.
struct Evacuation {
    std::string m_zone;
    std::int64_t m_requestedAt = 0; ///< When the store had acknowledged it.
    std::int64_t m_restoredAt = never; ///< When the operator began to take it back.
};

} // namespace hemlockvane::fleetrun
