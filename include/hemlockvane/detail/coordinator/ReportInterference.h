#pragma once

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Judges which images slow each other down, logs what has changed and sets the metric of each pair.
auto reportInterference(CoordinatorState& state) -> void;

} // namespace hemlockvane::detail
