#pragma once

#include "SimulatedFleet.h"

#include <cstdint>

namespace hemlockvane::bench {

/// @brief One run of placement on a full fleet.
struct PlacementSetting {
    bool m_firstFit = false; ///< The plain baseline: oldest job first, first worker with room for the declared size.
    bool m_massCancellation = false; ///< Thousands of waiting jobs are cancelled in the middle.
    bool m_lateTeam = false; ///< One team's jobs arrive when the others fill the fleet.
};

/// @brief What a run of placement gave.
struct PlacementResult {
    double m_meanDistance = 0; ///< Mean over full seconds and teams of |got - entitled| / entitled.
    double m_largestDistance = 0; ///< Largest over teams of the same, got being averaged over the run's full seconds.
    double m_usedFraction = 0; ///< Cores really used over cores of the fleet, over full seconds.
    double m_overusedFraction = 0; ///< Worker-seconds with more cores or memory used than there are.
    double m_longestUrgentWaitSeconds = 0; ///< Longest wait of an urgent job.
    std::uint32_t m_urgentJobs = 0;
    double m_planMillis = 0; ///< Mean processor time of a plan.
    std::uint32_t m_finished = 0;
    std::uint32_t m_stopped = 0; ///< Attempts stopped or checkpointed for others.
};

/// @brief Runs placement in virtual time, one plan a second.
auto simulatePlacement(const FleetShape& shape, const PlacementSetting& setting, std::uint64_t seed) -> PlacementResult;

/// @brief Mean processor time of one plan in ms for a fleet with four running tasks a worker and waiting jobs.
auto timePlacement(std::uint32_t workers, std::uint32_t waiting) -> double;

/// @brief Mean processor time of one wave plan in ms.
auto timeWave(std::uint32_t workers) -> double;

} // namespace hemlockvane::bench
