#include "hemlockvane/configuration/ValidateChange.h"

#include "hemlockvane/configuration/SettingSpec.h"

#include <charconv>
#include <string>

namespace hemlockvane {

namespace {

constexpr std::size_t maximumTextBytes = 1024;

auto reject(FailureReason& reason, std::string text) -> bool
{
    fail(reason, ErrorKind::BadRequest, std::move(text));
    return false;
}

auto validateValue(const SettingSpec& spec, std::string_view value, FailureReason& reason) -> bool
{
    std::int64_t number = 0;
    const auto* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, number);
    const auto isWholeNumber = parsed.ec == std::errc() && parsed.ptr == end;
    if (isWholeNumber && number >= spec.m_minimum && number <= spec.m_maximum)
        return true;
    return reject(reason,
        std::string(spec.m_name) + " takes a whole number from " + std::to_string(spec.m_minimum) + " to "
            + std::to_string(spec.m_maximum) + " " + std::string(spec.m_unit));
}

} // namespace

auto validateDefault(std::string_view setting, std::string_view value, FailureReason& reason) -> bool
{
    const auto* spec = findSetting(setting);
    if (spec == nullptr)
        return reject(reason, "there is no setting " + std::string(setting));
    if (spec->m_scope == ScopeKind::Zone && !value.empty())
        return reject(reason, std::string(setting) + " is set for single zones, by exceptions");
    return value.empty() || validateValue(*spec, value, reason);
}

auto validateException(std::string_view setting, std::string_view scope, std::string_view value,
    std::string_view justification, FailureReason& reason) -> bool
{
    const auto* spec = findSetting(setting);
    if (spec == nullptr)
        return reject(reason, "there is no setting " + std::string(setting));
    if (spec->m_scope == ScopeKind::Fleet)
        return reject(reason, std::string(setting) + " is fleet-wide and takes no exception");
    if (scope.empty() || scope.size() > maximumTextBytes)
        return reject(reason, "an exception needs a scope of 1 to 1024 bytes");
    if (justification.empty() || justification.size() > maximumTextBytes)
        return reject(reason, "an exception needs a reason of 1 to 1024 bytes");
    return validateValue(*spec, value, reason);
}

} // namespace hemlockvane
