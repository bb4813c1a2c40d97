#pragma once

#include "SimulatedFleet.h"

#include <cstdint>

namespace hemlockvane::bench {

/// @brief How demand changes in a run of moves.
enum class DemandTrace : std::uint8_t {
    Calm, ///< Within a tenth of the mean.
    Spikes, ///< Each pool in turn spikes to five times its mean for seconds, then drops to a twentieth.
    Shift ///< As Spikes, and every hour one pool needs twice as much for the rest of it.
};

/// @brief What a run of moves took.
struct MoveResult {
    std::uint32_t m_moves = 0;
    std::uint32_t m_lowerBound = 0; ///< For each pool its largest lack without noise and spikes, added up.
    double m_shortageHours = 0; ///< Lasting demand that stood without an instance, in instance-hours.
};

/// @brief Runs a day of demand.
/// @param onEveryAlarm the plain baseline: fill each lack at once, give everything beyond the demand back at once
auto simulateMoves(const FleetShape& shape, DemandTrace trace, bool movesImmediately, WallMillis shortageDelay,
    std::uint64_t seed) -> MoveResult;

/// @brief Buffers that cover one failed domain and a wave, in instances.
struct BufferResult {
    std::int64_t m_used = 0; ///< Instances that the demand needs.
    std::int64_t m_shared = 0;
    std::int64_t m_perPool = 0; ///< The plain baseline: each pool keeps its own.
    std::int64_t m_lowerBound = 0;
};

/// @brief Sizes the buffer of a fleet at its mean demand.
auto sizeBuffers(const FleetShape& shape, bool coverZones, std::int64_t waveWidth) -> BufferResult;

} // namespace hemlockvane::bench
