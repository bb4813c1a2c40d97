#pragma once

#include "hemlockvane/scheduling/Action.h"

#include <memory>
#include <vector>

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Sends the scheduler's actions concurrently and applies the answers.
auto sendActions(const std::shared_ptr<CoordinatorState>& state, std::vector<scheduling::Action> actions) -> void;

} // namespace hemlockvane::detail
