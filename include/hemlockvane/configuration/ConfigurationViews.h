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

/// @brief Every setting's value in force and where it comes from, then every exception in force.
/// @param setting only this one; empty: all
/// @complexity linear in settings and exceptions
auto effectiveSettings(const ConfigurationState& state, std::string_view setting, WallMillis now)
    -> std::vector<EffectiveSetting>;

/// @brief The latest changes, newest first.
/// @param before only versions below this one, 0: all
auto configurationHistory(const ConfigurationState& state, Offset before, std::size_t most)
    -> std::vector<ConfigurationChange>;

/// @brief Exceptions that expired within the time before `now`, or will within the time after it, by expiry.
/// @param within in ms
auto expiringExceptions(const ConfigurationState& state, WallMillis now, WallMillis within)
    -> std::vector<ScopedException>;

/// @brief What a configuration operation would do, tried on a copy through the same code as the fold.
/// @complexity linear in the fleet's pools and instances and in the configuration
auto previewChange(const FleetState& state, const wire::Operation& operation, WallMillis now) -> ConfigurationPreview;

} // namespace hemlockvane
