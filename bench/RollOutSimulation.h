#pragma once

#include "SimulatedFleet.h"

#include "hemlockvane/maintenance.h"

#include <cstdint>

namespace hemlockvane::bench {

/// @brief Failure domain that fails while a wave runs.
enum class WaveFault : std::uint8_t { None, Rack, Zone };

/// @brief Settings of one simulated roll-out.
struct RollOutSetting {
    FailureDomainLevel m_cover = FailureDomainLevel::None; ///< wave.cover of every pool but the spare pool.
    WaveFault m_fault = WaveFault::None;
    bool m_oneRackAtATime = false; ///< Runs the baseline instead of a wave: drains one rack after the other.
    std::int64_t m_budget = 2; ///< Availability budget of each pool, in instances.
    WallMillis m_finishIn = 0; ///< Time from the start to finish_by, ms; 0: no finish_by.
};

/// @brief Result of a roll-out.
struct RollOutResult {
    double m_hours = 0; ///< From the start of the wave until the last instance is back.
    double m_lowerBoundHours = 0; ///< Largest over pools of sum of drain times / budget; at least the longest drain.
    double m_coveredBoundHours = 0; ///< The same with the budget minus what wave.cover reserves for a failure.
    std::uint32_t m_violations = 0; ///< Drains that were begun and put their pool over its budget.
    std::uint32_t m_maxExcess = 0; ///< Largest excess of a pool's unavailable instances over its budget.
    bool m_paused = false; ///< The wave was paused, which ends the simulation.
    std::size_t m_notDone = 0; ///< Instances that the wave has not completed.
};

/// @brief Simulates one wave in virtual time; each drain takes 5 to 15 minutes, drawn from the seed.
auto simulateRollOut(const FleetShape& shape, const RollOutSetting& setting, std::uint64_t seed) -> RollOutResult;

} // namespace hemlockvane::bench
