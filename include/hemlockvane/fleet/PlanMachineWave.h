#pragma once

#include "hemlockvane/fleet/FleetAction.h"
#include "hemlockvane/time/Time.h"

#include <vector>

namespace hemlockvane::fleet {

struct FleetTiming;
struct FleetView;
struct WaveState;

/// @brief Plans the upkeeps of a wave within its time limit, starting with machines of the pools with the lowest load.
///
/// A machine is first reserved and then maintained once it runs no tasks, so that no work is lost. Close to the wave's
/// time limit it is maintained with short tasks running too, but never with long-running ones.
/// @param actions receives reservations and upkeeps
auto planMachineWave(const FleetView& view, const WaveState& wave, const FleetTiming& timing, Instant now,
    std::vector<FleetAction>& actions) -> void;

/// @brief True when a machine belongs to the wave and its upkeep has not started.
auto isUpkeepPending(const WaveState& wave, const std::string& machine) -> bool;

/// @brief True once the upkeep of every machine of the wave that is still listed has started.
auto isWaveCompleted(const FleetView& view, const WaveState& wave) -> bool;

} // namespace hemlockvane::fleet
