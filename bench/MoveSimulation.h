#pragma once

#include "SimulatedFleet.h"

#include <cstdint>

namespace hemlockvane::bench {

/// @brief How demand changes in the simulated day.
enum class DemandTrace : std::uint8_t {
    Calm, ///< Within a tenth of the mean.
    Spikes, ///< Each pool in turn spikes to five times its mean for 20 s, then drops to a twentieth for 120 s.
    Shift ///< As Spikes, and in each hour the demand of one pool doubles from minute 20 to the end of the hour.
};

/// @brief Result of a simulated day.
struct MoveResult {
    std::uint32_t m_moves = 0;
    std::uint32_t m_lowerBound = 0; ///< Sum over pools of the largest shortage without noise, spikes and drops.
    double m_shortageHours = 0; ///< Demand without spikes that had no instance, in instance-hours.
};

/// @brief Simulates the moves of instances between pools over one day of demand.
/// @param movesImmediately use the baseline: fill each shortage at once and return each unused instance at once
/// @param shortageDelay how long a shortage must last before the planner fills it, ms; not used by the baseline
auto simulateMoves(const FleetShape& shape, DemandTrace trace, bool movesImmediately, WallMillis shortageDelay,
    std::uint64_t seed) -> MoveResult;

/// @brief Sizes of the buffers that cover one failed domain and a wave, in instances.
struct BufferResult {
    std::int64_t m_used = 0; ///< Instances that the demand needs.
    std::int64_t m_shared = 0; ///< One buffer for all pools.
    std::int64_t m_perPool = 0; ///< The baseline: a buffer for each pool, added up.
    std::int64_t m_lowerBound = 0;
};

/// @brief Computes the buffers of a fleet whose pools need all their instances.
/// @param coverZones cover the failure of a zone, otherwise of a rack
/// @param waveWidth instances that a wave drains at once
auto sizeBuffers(const FleetShape& shape, bool coverZones, std::int64_t waveWidth) -> BufferResult;

} // namespace hemlockvane::bench
