#include "hemlockvane/configuration/ApplyConfiguration.h"

#include "hemlockvane/configuration/SettingSpec.h"
#include "hemlockvane/configuration/ValidateChange.h"
#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/maintenance/PoolBudget.h"

#include "hemlockvane/records.pb.h"

#include <algorithm>

namespace hemlockvane {

namespace {

auto checkVersion(const ConfigurationItem* current, Offset expected, FailureReason& reason) -> bool
{
    if (current == nullptr || current->m_version <= expected)
        return true;
    fail(reason, ErrorKind::Conflict,
        "changed by " + current->m_author + " in version " + std::to_string(current->m_version));
    return false;
}

// Replaces an item, unless the new value would put a pool over its availability budget while its instances drain.
template <typename Items, typename Name>
auto replaceItem(FleetState& state, Items& items, const Name& name, ConfigurationItem item, const FoldContext& context,
    FailureReason& reason) -> bool
{
    const auto poolsWithinBudget = drainingPoolsWithinBudget(state, context.m_stampedAt);
    const auto found = items.find(name);
    const auto previous = found == items.end() ? std::nullopt : std::optional(found->second);
    items[name] = std::move(item);
    const auto overBudget = std::find_if(poolsWithinBudget.begin(), poolsWithinBudget.end(),
        [&](const auto& pool) { return budgetLeft(state, pool, countsOf(state, pool), context.m_stampedAt) < 0; });
    if (overBudget == poolsWithinBudget.end())
        return true;
    if (previous)
        items[name] = *previous;
    else
        items.erase(name);
    fail(reason, ErrorKind::OverBudget, "pool " + *overBudget + " drains more than that allows; pause its wave first");
    return false;
}

auto accept(ConfigurationState& state, const FoldContext& context, std::string summary, const std::string& author)
    -> AppliedOffset
{
    state.m_version = context.m_offset;
    state.m_history.push_back({ context.m_offset, std::move(summary), author, context.m_stampedAt });
    if (state.m_history.size() > maximumHistory)
        state.m_history.pop_front();
    return context.m_offset;
}

} // namespace

auto apply(FleetState& state, const wire::SetDefault& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    auto& configuration = state.m_configuration;
    if (!validateDefault(change.setting(), change.value(), reason))
        return std::nullopt;
    const auto found = configuration.m_defaults.find(change.setting());
    const auto* current = found == configuration.m_defaults.end() ? nullptr : &found->second;
    if (!checkVersion(current, change.expected_version(), reason))
        return std::nullopt;
    const ConfigurationItem item { change.value(), "", change.author(), 0, context.m_offset, change.value().empty() };
    if (!replaceItem(state, configuration.m_defaults, change.setting(), item, context, reason))
        return std::nullopt;
    const auto displayedValue = change.value().empty() ? std::string("built-in") : change.value();
    return accept(configuration, context, "default " + change.setting() + " = " + displayedValue, change.author());
}

auto apply(FleetState& state, const wire::SetException& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    auto& configuration = state.m_configuration;
    if (!validateException(change.setting(), change.scope(), change.value(), change.reason(), reason))
        return std::nullopt;
    const auto name = std::pair(change.setting(), change.scope());
    const auto found = configuration.m_exceptions.find(name);
    const auto* current = found == configuration.m_exceptions.end() ? nullptr : &found->second;
    if (!checkVersion(current, change.expected_version(), reason))
        return std::nullopt;
    if (change.author().empty())
        return fail(reason, ErrorKind::BadRequest, "an exception needs an author");
    if (change.expires_at_ms() != 0 && change.expires_at_ms() <= context.m_stampedAt)
        return fail(reason, ErrorKind::BadRequest, "the exception would have expired already");
    const ConfigurationItem item { change.value(), change.reason(), change.author(), change.expires_at_ms(),
        context.m_offset, false };
    if (!replaceItem(state, configuration.m_exceptions, name, item, context, reason))
        return std::nullopt;
    auto summary
        = "exception " + change.setting() + " for " + change.scope() + " = " + change.value() + ": " + change.reason();
    return accept(configuration, context, std::move(summary), change.author());
}

auto apply(FleetState& state, const wire::RemoveException& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    auto& configuration = state.m_configuration;
    const auto found = configuration.m_exceptions.find({ change.setting(), change.scope() });
    if (found == configuration.m_exceptions.end() || found->second.m_removed)
        return fail(reason, ErrorKind::NotFound, "no exception " + change.setting() + " for " + change.scope());
    if (!checkVersion(&found->second, change.expected_version(), reason))
        return std::nullopt;
    auto item = found->second;
    item.m_removed = true;
    item.m_version = context.m_offset;
    item.m_author = change.author();
    if (!replaceItem(state, configuration.m_exceptions, found->first, item, context, reason))
        return std::nullopt;
    return accept(
        configuration, context, "no exception " + change.setting() + " for " + change.scope(), change.author());
}

} // namespace hemlockvane
