#include "hemlockvane/configuration/ConfigurationViews.h"

#include "hemlockvane/configuration/ApplyConfiguration.h"
#include "hemlockvane/configuration/SettingSpec.h"

#include "hemlockvane/records.pb.h"

#include <algorithm>
#include <set>

namespace hemlockvane {

namespace {

auto isInForce(const ConfigurationItem& item, WallMillis now) -> bool
{
    return !item.m_removed && (item.m_expiresAt == 0 || now < item.m_expiresAt);
}

auto applyConfigurationChange(FleetState& state, const wire::Operation& operation, const FoldContext& context,
    FailureReason& reason) -> std::optional<AppliedOffset>
{
    switch (operation.change_case()) {
    case wire::Operation::kSetDefault:
        return apply(state, operation.set_default(), context, reason);
    case wire::Operation::kSetException:
        return apply(state, operation.set_exception(), context, reason);
    case wire::Operation::kRemoveException:
        return apply(state, operation.remove_exception(), context, reason);
    default:
        return fail(reason, ErrorKind::BadRequest, "only configuration changes can be previewed");
    }
}

auto settingOf(const wire::Operation& operation) -> std::string
{
    switch (operation.change_case()) {
    case wire::Operation::kSetDefault:
        return operation.set_default().setting();
    case wire::Operation::kSetException:
        return operation.set_exception().setting();
    default:
        return operation.remove_exception().setting();
    }
}

// Copies only what the checks of a configuration change read: the configuration, and the pools for their budgets.
auto copyForCheck(const FleetState& state) -> FleetState
{
    FleetState copy;
    copy.m_nextOffset = state.m_nextOffset;
    copy.m_configuration = state.m_configuration;
    copy.m_pools = state.m_pools;
    return copy;
}

auto scopesOf(const ConfigurationState& before, const ConfigurationState& after, const std::string& setting)
    -> std::set<std::string>
{
    std::set<std::string> scopes { "" };
    for (const auto* state : { &before, &after }) {
        for (const auto& [name, item] : state->m_exceptions) {
            if (name.first == setting)
                scopes.insert(name.second);
        }
    }
    return scopes;
}

} // namespace

auto effectiveSettings(const ConfigurationState& state, std::string_view setting, WallMillis now)
    -> std::vector<EffectiveSetting>
{
    std::vector<EffectiveSetting> rows;
    for (const auto& spec : settingSpecs()) {
        const auto name = std::string(spec.m_name);
        if (!setting.empty() && spec.m_name != setting)
            continue;
        rows.push_back({ name, "", std::string(spec.m_unit), effectiveValue(state, name, "", now) });
        for (auto it = state.m_exceptions.lower_bound({ name, "" });
             it != state.m_exceptions.end() && it->first.first == name; ++it) {
            if (isInForce(it->second, now))
                rows.push_back({ name, it->first.second, std::string(spec.m_unit),
                    effectiveValue(state, name, it->first.second, now) });
        }
    }
    return rows;
}

auto configurationHistory(const ConfigurationState& state, Offset before, std::size_t limit)
    -> std::vector<ConfigurationChange>
{
    std::vector<ConfigurationChange> changes;
    for (auto it = state.m_history.rbegin(); it != state.m_history.rend() && changes.size() < limit; ++it) {
        if (before == 0 || it->m_version < before)
            changes.push_back(*it);
    }
    return changes;
}

auto expiringExceptions(const ConfigurationState& state, WallMillis now, WallMillis within)
    -> std::vector<ScopedException>
{
    std::vector<ScopedException> rows;
    for (const auto& [name, item] : state.m_exceptions) {
        const auto isNear = item.m_expiresAt >= now - within && item.m_expiresAt <= now + within;
        if (!item.m_removed && item.m_expiresAt != 0 && isNear)
            rows.push_back({ name.first, name.second, item });
    }
    std::stable_sort(rows.begin(), rows.end(),
        [](const auto& a, const auto& b) { return a.m_item.m_expiresAt < b.m_item.m_expiresAt; });
    return rows;
}

auto previewChange(const FleetState& state, const wire::Operation& operation, WallMillis now) -> ConfigurationPreview
{
    ConfigurationPreview preview;
    auto copy = copyForCheck(state);
    FailureReason reason;
    if (!applyConfigurationChange(copy, operation, { state.m_nextOffset + 1, now, {} }, reason)) {
        preview.m_error = reason.m_kind;
        preview.m_reason = std::move(reason.m_text);
        return preview;
    }
    const auto setting = settingOf(operation);
    for (const auto& scope : scopesOf(state.m_configuration, copy.m_configuration, setting)) {
        const auto before = effectiveValue(state.m_configuration, setting, scope, now).m_value;
        const auto after = effectiveValue(copy.m_configuration, setting, scope, now).m_value;
        if (before != after)
            preview.m_changes.push_back({ setting, scope, before, after });
    }
    return preview;
}

} // namespace hemlockvane
