#pragma once

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/maintenance/WavePlanState.h"

#include <string>

namespace hemlockvane {

/// @brief Expected end of a wave, and the pool that determines it.
struct WaveForecast {
    WallMillis m_endsAt = 0; ///< 0 when a pool has no budget for a drain, so that the wave cannot end.
    std::string m_slowestPool;
    std::size_t m_remaining = 0; ///< Available instances not maintained yet.
};

/// @brief Forecasts the end of a wave from the budgets and the mean duration of past drains.
/// @complexity linear in the instances
auto forecastWave(const FleetState& fleet, const WavePlanState& state, const WaveRecord& wave, WallMillis now)
    -> WaveForecast;

/// @brief Expected duration of a drain in ms: the mean of past drains, or `wave.drain_s` when there is none.
auto expectedDrainTime(const FleetState& fleet, const WavePlanState& state, WallMillis now) -> WallMillis;

} // namespace hemlockvane
