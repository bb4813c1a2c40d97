#pragma once

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Logs the steps whose long-running tasks wait now and waited at the last call, and why. Called once a second.
auto reportWaiting(CoordinatorState& state) -> void;

} // namespace hemlockvane::detail
