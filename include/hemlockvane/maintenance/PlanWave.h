#pragma once

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/maintenance/WaveAction.h"
#include "hemlockvane/maintenance/WaveInput.h"
#include "hemlockvane/maintenance/WavePlanState.h"

#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief Plans for the holder of the maintenance duty: marks failures, ends and begins drains, reboots what is drained
/// and pauses a wave that does harm.
///
/// A drain begins only when its pool keeps its budget, failures first, and where the budget allows it also if the
/// pool's largest other rack or zone (`wave.cover`) then fails. The width grows to what `finish_by` needs, and starts
/// small until instances came back well.
/// @result nothing while `m_mayAct` is false; drains that run stay counted by the fold
/// @complexity instances times failure domains of their pool
auto planWave(const FleetState& fleet, WavePlanState& state, const WaveInput& input) -> std::vector<WaveAction>;

/// @brief Takes the outcome of an action's record, whether it was accepted, refused or not recorded.
auto onWaveRecorded(WavePlanState& state, const WaveAction& action) -> void;

} // namespace hemlockvane
