#pragma once

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/maintenance/WavePlanState.h"

#include <string>

namespace hemlockvane {

/// @brief When a wave is expected to end, and the pool that decides it.
struct WaveForecast {
    WallMillis m_endsAt = 0; ///< 0: never, some pool has no budget for a drain.
    std::string m_slowestPool;
    std::size_t m_remaining = 0; ///< Instances not maintained yet.
};

/// @brief Forecasts a wave's end from the budgets and the mean drain seen so far.
/// @complexity linear in the instances
auto forecastWave(const FleetState& fleet, const WavePlanState& state, const WaveRecord& wave, WallMillis now)
    -> WaveForecast;

/// @brief Time that one drain is expected to take: the mean seen, else `wave.drain_s`, in ms.
auto expectedDrainTime(const FleetState& fleet, const WavePlanState& state, WallMillis now) -> WallMillis;

} // namespace hemlockvane
