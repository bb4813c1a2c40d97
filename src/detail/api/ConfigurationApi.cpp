#include "hemlockvane/detail/api/ConfigurationApi.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/configuration/SettingSpec.h"
#include "hemlockvane/configuration/ValidateChange.h"
#include "hemlockvane/detail/api/JsonResponse.h"
#include "hemlockvane/detail/api/Router.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/Commit.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/http/ErrorResponse.h"
#include "hemlockvane/detail/text/JsonFields.h"

#include "hemlockvane/records.pb.h"

#include <boost/json.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

auto nameOf(ValueSource source) -> std::string_view
{
    switch (source) {
    case ValueSource::BuiltIn:
        return "built-in";
    case ValueSource::Default:
        return "default";
    case ValueSource::Exception:
        return "exception";
    }
    return "";
}

auto showSettings(const ControlCore& core) -> json::array
{
    json::array rows;
    for (const auto& spec : settingSpecs()) {
        const auto effective = effectiveValue(core.m_state.m_configuration, spec.m_name, "", wallNow());
        rows.push_back(json::object { { "setting", spec.m_name }, { "value", effective.m_value },
            { "source", nameOf(effective.m_source) }, { "unit", spec.m_unit }, { "meaning", spec.m_meaning },
            { "version", effective.m_item != nullptr ? effective.m_item->m_version : 0 } });
    }
    return rows;
}

auto showExceptions(const ControlCore& core) -> json::array
{
    json::array rows;
    const auto now = wallNow();
    for (const auto& [name, item] : core.m_state.m_configuration.m_exceptions) {
        if (item.m_removed)
            continue;
        rows.push_back(json::object { { "setting", name.first }, { "scope", name.second }, { "value", item.m_value },
            { "reason", item.m_reason }, { "author", item.m_author }, { "expires_at_ms", item.m_expiresAt },
            { "expired", item.m_expiresAt != 0 && item.m_expiresAt <= now }, { "version", item.m_version } });
    }
    return rows;
}

auto showConfiguration(ControlCore& core, ApiCall) -> asio::awaitable<HttpResponse>
{
    co_return jsonResponse({ { "version", core.m_state.m_configuration.m_version }, { "settings", showSettings(core) },
        { "exceptions", showExceptions(core) } });
}

auto showHistory(ControlCore& core, ApiCall) -> asio::awaitable<HttpResponse>
{
    json::array rows;
    for (const auto& change : core.m_state.m_configuration.m_history)
        rows.push_back(json::object { { "version", change.m_version }, { "change", change.m_summary },
            { "author", change.m_author }, { "at_ms", change.m_stampedAt } });
    co_return jsonResponse({ { "history", std::move(rows) } });
}

auto expectedVersion(const ApiCall& call) -> Offset
{
    return static_cast<Offset>(numberOf(call.m_body, "expected_version"));
}

// The value of a change, given as a text or an integer. It is required; an empty text selects the built-in value.
auto valueOf(const ApiCall& call, FailureReason& reason) -> std::optional<std::string>
{
    const auto* value = call.m_body.if_contains("value");
    if (value != nullptr && value->is_int64())
        return std::to_string(value->as_int64());
    if (value != nullptr && value->is_string())
        return std::string(value->as_string());
    return fail(reason, ErrorKind::BadRequest, "value must be a string or an integer");
}

auto setDefault(ControlCore& core, ApiCall call) -> asio::awaitable<HttpResponse>
{
    FailureReason reason;
    const auto value = valueOf(call, reason);
    if (!value)
        co_return errorResponse(reason);
    wire::Operation operation;
    auto& change = *operation.mutable_set_default();
    change.set_setting(call.m_captures[0]);
    change.set_value(*value);
    change.set_author(textOf(call.m_body, "author"));
    change.set_expected_version(expectedVersion(call));
    co_return resultResponse(co_await commit(core, std::move(operation)));
}

auto setException(ControlCore& core, ApiCall call) -> asio::awaitable<HttpResponse>
{
    FailureReason reason;
    const auto value = valueOf(call, reason);
    if (!value)
        co_return errorResponse(reason);
    wire::Operation operation;
    auto& change = *operation.mutable_set_exception();
    change.set_setting(call.m_captures[0]);
    change.set_scope(call.m_captures[1]);
    change.set_value(*value);
    change.set_reason(textOf(call.m_body, "reason"));
    change.set_author(textOf(call.m_body, "author"));
    change.set_expires_at_ms(numberOf(call.m_body, "expires_at_ms"));
    change.set_expected_version(expectedVersion(call));
    co_return resultResponse(co_await commit(core, std::move(operation)));
}

// Scopes with an exception to the setting, to which a changed default does not apply.
auto unchangedScopes(const ControlCore& core, const std::string& setting) -> json::array
{
    json::array scopes;
    const auto now = wallNow();
    for (const auto& [name, item] : core.m_state.m_configuration.m_exceptions) {
        const auto isExpired = item.m_expiresAt != 0 && item.m_expiresAt <= now;
        if (name.first == setting && !item.m_removed && !isExpired)
            scopes.push_back(
                json::object { { "scope", name.second }, { "value", item.m_value }, { "reason", item.m_reason } });
    }
    return scopes;
}

auto validatePreview(
    const std::string& setting, const std::string& scope, const std::string& value, FailureReason& reason) -> bool
{
    constexpr std::string_view placeholderReason = "preview"; // An exception is valid only with a reason.
    return scope.empty() ? validateDefault(setting, value, reason)
                         : validateException(setting, scope, value, placeholderReason, reason);
}

// Shows the effect of a change without making it.
auto previewChange(ControlCore& core, ApiCall call) -> asio::awaitable<HttpResponse>
{
    FailureReason reason;
    const auto value = valueOf(call, reason);
    const auto setting = textOf(call.m_body, "setting");
    const auto scope = textOf(call.m_body, "scope");
    if (!value || !validatePreview(setting, scope, *value, reason))
        co_return errorResponse(reason);
    const auto now = effectiveValue(core.m_state.m_configuration, setting, scope, wallNow());
    const auto builtIn = std::to_string(findSetting(setting)->m_builtIn);
    json::object answer { { "setting", setting }, { "scope", scope }, { "value_now", now.m_value },
        { "source_now", nameOf(now.m_source) }, { "value_then", value->empty() ? builtIn : *value },
        { "version", core.m_state.m_configuration.m_version } };
    if (scope.empty())
        answer["unchanged_scopes"] = unchangedScopes(core, setting);
    co_return jsonResponse(answer);
}

auto removeException(ControlCore& core, ApiCall call) -> asio::awaitable<HttpResponse>
{
    wire::Operation operation;
    auto& change = *operation.mutable_remove_exception();
    change.set_setting(call.m_captures[0]);
    change.set_scope(call.m_captures[1]);
    change.set_author(textOf(call.m_body, "author"));
    change.set_expected_version(expectedVersion(call));
    co_return resultResponse(co_await commit(core, std::move(operation)));
}

} // namespace

auto addConfigurationRoutes(Router& router, ControlCore& core) -> void
{
    router.add("GET", "/v1/configuration", [&core](ApiCall call) { return showConfiguration(core, std::move(call)); });
    router.add(
        "POST", "/v1/configuration/preview", [&core](ApiCall call) { return previewChange(core, std::move(call)); });
    router.add(
        "GET", "/v1/configuration/history", [&core](ApiCall call) { return showHistory(core, std::move(call)); });
    router.add(
        "PUT", "/v1/configuration/defaults/{}", [&core](ApiCall call) { return setDefault(core, std::move(call)); });
    router.add("PUT", "/v1/configuration/exceptions/{}/{}",
        [&core](ApiCall call) { return setException(core, std::move(call)); });
    router.add("DELETE", "/v1/configuration/exceptions/{}/{}",
        [&core](ApiCall call) { return removeException(core, std::move(call)); });
}

} // namespace hemlockvane::detail
