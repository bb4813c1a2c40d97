#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace hemlockvane {

/// @brief What an exception to a setting applies to; a setting of the fleet takes no exceptions, one of zones no
/// default.
enum class ScopeKind : std::uint8_t { Fleet, Team, Queue, Pool, Service, Zone };

/// @brief A setting that operators may change, with its built-in value and its limits.
struct SettingSpec {
    std::string_view m_name;
    ScopeKind m_scope;
    std::int64_t m_builtIn;
    std::int64_t m_minimum;
    std::int64_t m_maximum;
    std::string_view m_unit;
    std::string_view m_meaning;
};

/// @brief All settings, sorted by name.
auto settingSpecs() -> std::span<const SettingSpec>;

/// @brief Finds a setting by name.
/// @result null when there is no such setting
/// @complexity logarithmic
auto findSetting(std::string_view name) -> const SettingSpec*;

} // namespace hemlockvane
