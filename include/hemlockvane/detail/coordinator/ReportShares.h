#pragma once

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Logs the workspaces that are at or beyond their share of a pool that cannot hold all tasks, and sets gauges
/// of their share and use.
auto reportShares(CoordinatorState& state) -> void;

} // namespace hemlockvane::detail
