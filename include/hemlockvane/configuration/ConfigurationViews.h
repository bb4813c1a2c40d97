#pragma once

#include "hemlockvane/configuration/ConfigurationPreview.h"
#include "hemlockvane/configuration/EffectiveSetting.h"
#include "hemlockvane/configuration/ScopedException.h"
#include "hemlockvane/log/FleetState.h"

#include <string_view>
#include <vector>

namespace hemlockvane::wire {
class Operation;
} // namespace hemlockvane::wire

namespace hemlockvane {

/// @brief Effective values of all settings, each followed by its exceptions that are in force.
/// @param setting limits the result to this setting; empty: all
/// @complexity linear in settings and exceptions
auto effectiveSettings(const ConfigurationState& state, std::string_view setting, WallMillis now)
    -> std::vector<EffectiveSetting>;

/// @brief The latest configuration changes, newest first.
/// @param before limits the result to versions below this one; 0: all
/// @param limit maximum number of changes
auto configurationHistory(const ConfigurationState& state, Offset before, std::size_t limit)
    -> std::vector<ConfigurationChange>;

/// @brief Exceptions that expired at most `within` before `now` or expire at most `within` after it, sorted by expiry.
/// @param within in ms
auto expiringExceptions(const ConfigurationState& state, WallMillis now, WallMillis within)
    -> std::vector<ScopedException>;

/// @brief Applies a configuration operation to a copy of the state, with the code of the fold, and compares the values.
/// @complexity linear in the fleet's pools and instances and in the configuration
auto previewChange(const FleetState& state, const wire::Operation& operation, WallMillis now) -> ConfigurationPreview;

} // namespace hemlockvane
