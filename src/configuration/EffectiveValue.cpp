#include "hemlockvane/configuration/EffectiveValue.h"

#include "hemlockvane/configuration/SettingSpec.h"

#include <charconv>

namespace hemlockvane {

namespace {

auto toNumber(const std::string& text) -> std::int64_t
{
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

auto isInForce(const ConfigurationItem& item, WallMillis now) -> bool
{
    return !item.m_removed && (item.m_expiresAt == 0 || now < item.m_expiresAt);
}

} // namespace

auto effectiveValue(const ConfigurationState& state, std::string_view setting, std::string_view scope, WallMillis now)
    -> EffectiveValue
{
    const auto exception = state.m_exceptions.find({ std::string(setting), std::string(scope) });
    if (exception != state.m_exceptions.end() && isInForce(exception->second, now))
        return { toNumber(exception->second.m_value), ValueSource::Exception, &exception->second };
    const auto fallback = state.m_defaults.find(setting);
    if (fallback != state.m_defaults.end() && !fallback->second.m_removed)
        return { toNumber(fallback->second.m_value), ValueSource::Default, &fallback->second };
    const auto* spec = findSetting(setting);
    return { spec != nullptr ? spec->m_builtIn : 0, ValueSource::BuiltIn, nullptr };
}

} // namespace hemlockvane
