#pragma once

#include "SimulatedFleet.h"

#include "hemlockvane/maintenance.h"

#include <cstdint>

namespace hemlockvane::bench {

/// @brief What fails while a wave runs.
enum class WaveFault : std::uint8_t { None, Rack, Zone };

/// @brief One roll-out: its setting.
struct RollOutSetting {
    FailureDomainLevel m_cover = FailureDomainLevel::None;
    WaveFault m_fault = WaveFault::None;
    bool m_oneRackAtATime = false; ///< The plain baseline.
    std::int64_t m_budget = 2;
    WallMillis m_finishIn = 0; ///< finish_by after the start, 0: none.
};

/// @brief What a roll-out took.
struct RollOutResult {
    double m_hours = 0; ///< Wave start to last instance back.
    double m_lowerBoundHours = 0; ///< Largest over pools of the sum of its drains over its budget.
    double m_coveredBoundHours = 0; ///< The same over the width that the cover leaves of the budget.
    std::uint32_t m_violations = 0; ///< Drains that began or ran by choice over a budget.
    std::uint32_t m_maxExcess = 0; ///< Unavailable over a pool's budget after the failure, in instances.
    bool m_paused = false;
    std::size_t m_notDone = 0;
};

/// @brief Runs one wave in virtual time; drains take 5 to 15 minutes each, drawn from the seed.
auto simulateRollOut(const FleetShape& shape, const RollOutSetting& setting, std::uint64_t seed) -> RollOutResult;

} // namespace hemlockvane::bench
