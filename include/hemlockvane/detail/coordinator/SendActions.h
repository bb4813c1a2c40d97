#pragma once

#include "hemlockvane/scheduling/Action.h"

#include <memory>
#include <vector>

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Sends decided orders, each on its own, and applies their answers.
auto sendActions(const std::shared_ptr<CoordinatorState>& state, std::vector<scheduling::Action> actions) -> void;

} // namespace hemlockvane::detail
