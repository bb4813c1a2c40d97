#pragma once

#include <cstdint>

namespace hemlockvane::fleetrun {

/// @brief What part of the users' load is played.
struct FleetLoad {
    double m_scale = 1; ///< Of the rates of the site.
    std::int64_t m_turnMs = 6000; ///< Each queue in turn asks five times its mean for this time, and little otherwise.
    double m_hopeless = 0; ///< Share of jobs that can never be done.
    double m_cancelled = 0; ///< Share of jobs that are cancelled soon after.
    bool m_hasLasting = false; ///< One job of tasks that last in each queue.
};

} // namespace hemlockvane::fleetrun
