#pragma once

#include "hemlockvane/fleet/FleetAction.h"
#include "hemlockvane/time/Time.h"

#include <vector>

namespace hemlockvane::fleet {

struct FleetTiming;
struct FleetView;
struct WaveState;

/// @brief Takes machines through a wave in time, from the pools that need them least at the moment.
///
/// Machines are reserved first and maintained once they are empty, so that no work is thrown away; close to the
/// wave's limit also with short tasks on them, but never with lasting ones.
/// @param actions receives reservations and upkeeps
auto planMachineWave(const FleetView& view, const WaveState& wave, const FleetTiming& timing, Instant now,
    std::vector<FleetAction>& actions) -> void;

/// @brief True for a machine of the wave whose upkeep has not begun.
auto isUpkeepPending(const WaveState& wave, const std::string& machine) -> bool;

/// @brief True once every machine of the wave that is still there has begun its upkeep.
auto isWaveCompleted(const FleetView& view, const WaveState& wave) -> bool;

} // namespace hemlockvane::fleet
