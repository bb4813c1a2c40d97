#pragma once

#include <cstdint>

namespace hemlockvane::fleetrun {

/// @brief What part of the users' load is played.
struct FleetLoad {
    double m_scale = 1; ///< Of the rates of the site.
    double m_hopeless = 0; ///< Share of jobs that can never be done.
    double m_cancelled = 0; ///< Share of jobs that are cancelled soon after.
    double m_long = 0; ///< Share of jobs whose tasks take many times as long as they estimate.
    bool m_hasLasting = false; ///< Also jobs of tasks that last.
};

} // namespace hemlockvane::fleetrun
