#pragma once

#include "hemlockvane/configuration/ConfigurationState.h"

#include <cstdint>
#include <string_view>

namespace hemlockvane {

/// @brief Source of an effective value.
enum class ValueSource : std::uint8_t { BuiltIn, Default, Exception };

/// @brief Value of a setting for one scope, and its source.
struct EffectiveValue {
    std::int64_t m_value = 0;
    ValueSource m_source = ValueSource::BuiltIn;
    const ConfigurationItem* m_item = nullptr; ///< Null for a built-in value; valid until the state changes.
};

/// @brief The effective value for a scope: its exception if there is one that has not expired, else the default, else
/// the built-in value.
/// @param now wall clock that decides whether an exception has expired
/// @result a value of 0 for an unknown setting
auto effectiveValue(const ConfigurationState& state, std::string_view setting, std::string_view scope, WallMillis now)
    -> EffectiveValue;

} // namespace hemlockvane
