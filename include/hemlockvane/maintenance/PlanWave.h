#pragma once

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/maintenance/WaveAction.h"
#include "hemlockvane/maintenance/WaveInput.h"
#include "hemlockvane/maintenance/WavePlanState.h"

#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief Plans maintenance for the holder of the maintenance duty: marks failed and recovered instances, begins and
/// ends drains, reboots drained instances, and pauses a wave that loses too many instances.
///
/// A drain begins only when its pool stays within its budget, with failed instances counted. Where the budget allows
/// it, the pool also stays within it if any one other rack or zone (`wave.cover`) fails. The number of concurrent
/// drains starts small, grows as instances return healthy, and is raised as far as `finish_by` requires.
/// @result empty while `m_mayAct` is false; running drains still count as unavailable in the folded state
/// @complexity instances times failure domains of their pool
auto planWave(const FleetState& fleet, WavePlanState& state, const WaveInput& input) -> std::vector<WaveAction>;

/// @brief Marks an action's record as no longer in flight, whether it was accepted, refused or not recorded.
auto onWaveRecorded(WavePlanState& state, const WaveAction& action) -> void;

} // namespace hemlockvane
