#pragma once

#include "hemlockvane/fleet/FleetAction.h"
#include "hemlockvane/fleet/WavePace.h"
#include "hemlockvane/time/Time.h"

#include <vector>

namespace hemlockvane::fleet {

struct FleetTiming;
struct FleetView;
struct MachineHistory;
struct WaveState;

/// @brief Plans the upkeeps of a wave within its time limit, starting with machines of the pools with the lowest load.
///
/// A machine is maintained only while it runs no tasks, so that no work is lost: one of a spare pool at once, an idle
/// one as soon as its pool can spare it, any other after it has been reserved and its tasks have ended or moved. So
/// many are reserved at a time as the time that drains take and the time left require.
/// @param actions receives reservations and upkeeps
/// @result the wave's progress
auto planMachineWave(const FleetView& view, const WaveState& wave, const FleetTiming& timing, Instant now,
    std::vector<FleetAction>& actions) -> WavePace;

/// @brief True when a machine belongs to the wave and its upkeep has not started.
auto isUpkeepPending(const WaveState& wave, const std::string& machine) -> bool;

/// @brief True once the upkeep of every machine of the wave has started, or the machine does not exist any more. It
/// stays true, so that it may be stored: the lists that show that a machine is gone were asked for after the order.
auto isWaveCompleted(const MachineHistory& history, const WaveState& wave) -> bool;

} // namespace hemlockvane::fleet
