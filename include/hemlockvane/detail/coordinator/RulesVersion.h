#pragma once

#include "hemlockvane/time/Time.h"

#include <string_view>

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Has the version of the configuration stored with the next journal batch, unless a newer one is. What is
/// decided by it is stored in that batch or a later one.
auto noteRulesVersion(CoordinatorState& state) -> void;

/// @brief Restores the version that an earlier owner decided by.
/// @result false when the bytes are not a version
auto restoreRulesVersion(CoordinatorState& state, std::string_view bytes) -> bool;

/// @brief Whether an earlier owner decided by a newer configuration.
[[nodiscard]] auto areRulesOutdated(const CoordinatorState& state) -> bool;

/// @brief Determines whether jobs may be failed by the configuration: its version is at least that of the earlier
/// owners, and it was confirmed a short time ago.
auto updateRulesValidity(CoordinatorState& state, Instant now) -> void;

} // namespace hemlockvane::detail
