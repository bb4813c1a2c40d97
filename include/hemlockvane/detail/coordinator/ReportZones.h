#pragma once

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Logs what is left in each evacuated availability zone and sets its metrics: runs, those of long-running
/// tasks, and machines in pools that are not spare.
auto reportZones(CoordinatorState& state) -> void;

} // namespace hemlockvane::detail
