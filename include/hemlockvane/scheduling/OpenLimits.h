#pragma once

#include <cstddef>

namespace hemlockvane::scheduling {

/// @brief Maximum number of tasks and steps in all open occurrences of one job; one occurrence may have as many tasks.
inline constexpr std::size_t maximumOpenSize = 20000;

/// @brief Maximum number of steps in open occurrences that have not begun, unless one occurrence has more: enough that
/// each plan finds work for the room that has become free.
inline constexpr std::size_t maximumUnbegunSteps = 8;

} // namespace hemlockvane::scheduling
