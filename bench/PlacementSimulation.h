#pragma once

#include "SimulatedFleet.h"

#include <cstdint>

namespace hemlockvane::bench {

/// @brief Settings of one simulated placement run on a full fleet.
struct PlacementSetting {
    bool m_firstFit = false; ///< The baseline: oldest job first, on the first worker that fits its declared size.
    bool m_massCancellation = false; ///< Thousands of waiting jobs are cancelled halfway through the run.
    bool m_lateTeam = false; ///< One team starts to submit jobs when the other teams already fill the fleet.
};

/// @brief Result of a placement run.
///
/// Measured seconds are those after the warm-up, except the settling time after a late team's arrival.
/// A team is entitled to the cores really used, divided among the active teams by weight.
struct PlacementResult {
    double m_meanDistance = 0; ///< Mean of |used - entitled| / entitled over teams and measured seconds.
    double m_largestDistance = 0; ///< Largest over teams, with used and entitled summed over the measured seconds.
    double m_usedFraction = 0; ///< Cores really used over the fleet's cores, mean over measured seconds.
    double m_overusedFraction = 0; ///< Worker-seconds with real usage over the worker's size, over all worker-seconds.
    double m_longestUrgentWaitSeconds = 0;
    std::uint32_t m_urgentJobs = 0; ///< Urgent jobs started.
    double m_planMillis = 0; ///< Mean time of a plan.
    std::uint32_t m_finished = 0;
    std::uint32_t m_stopped = 0; ///< Attempts stopped or checkpointed in favour of other jobs.
};

/// @brief Simulates placement in virtual time, with one plan a second.
auto simulatePlacement(const FleetShape& shape, const PlacementSetting& setting, std::uint64_t seed) -> PlacementResult;

/// @brief Measures one placement plan on a fleet with four running tasks per worker.
/// @param waiting number of waiting jobs
/// @result mean time of a plan, ms
auto timePlacement(std::uint32_t workers, std::uint32_t waiting) -> double;

/// @brief Measures one plan of a wave over all workers.
/// @result mean time of a plan, ms
auto timeWave(std::uint32_t workers) -> double;

} // namespace hemlockvane::bench
