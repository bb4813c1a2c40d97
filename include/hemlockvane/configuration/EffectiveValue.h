#pragma once

#include "hemlockvane/configuration/ConfigurationState.h"

#include <cstdint>
#include <string_view>

namespace hemlockvane {

/// @brief Where an effective value comes from.
enum class ValueSource : std::uint8_t { BuiltIn, Default, Exception };

/// @brief A setting's value for one scope and where it comes from.
struct EffectiveValue {
    std::int64_t m_value = 0;
    ValueSource m_source = ValueSource::BuiltIn;
    const ConfigurationItem* m_item = nullptr; ///< Null for a built-in value; valid while the state lives.
};

/// @brief The value in force for a scope: its exception unless expired, else the default, else the built-in value.
/// @param now wall clock; an exception that expired by then does not count
/// @result value 0 for an unknown setting
auto effectiveValue(const ConfigurationState& state, std::string_view setting, std::string_view scope, WallMillis now)
    -> EffectiveValue;

} // namespace hemlockvane
