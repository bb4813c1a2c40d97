#include "hemlockvane/detail/api/KeysApi.h"

#include "hemlockvane/detail/api/JsonResponse.h"
#include "hemlockvane/detail/api/Router.h"
#include "hemlockvane/detail/control/Commit.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/control/KeysDriver.h"
#include "hemlockvane/detail/crypto/Sha256.h"
#include "hemlockvane/detail/http/ErrorResponse.h"
#include "hemlockvane/detail/text/JsonFields.h"

#include "hemlockvane/records.pb.h"

#include <boost/json.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

auto grantKey(ControlCore& core, ApiCall call) -> asio::awaitable<HttpResponse>
{
    auto key = textOf(call.m_body, "key");
    if (key.empty())
        key = makeSecret();
    wire::Operation operation;
    auto& change = *operation.mutable_grant_key();
    change.set_key_id(textOf(call.m_body, "key_id"));
    change.set_team(textOf(call.m_body, "team"));
    change.set_author(textOf(call.m_body, "author"));
    change.set_key_hash(sha256(key));
    const auto result = co_await commit(core, std::move(operation));
    co_return resultResponse(result, { { "key", key } });
}

auto withdrawKey(ControlCore& core, ApiCall call) -> asio::awaitable<HttpResponse>
{
    wire::Operation operation;
    auto& change = *operation.mutable_withdraw_key();
    change.set_key_id(call.m_captures[0]);
    change.set_author(textOf(call.m_body, "author"));
    change.set_reason(textOf(call.m_body, "reason"));
    FailureReason reason;
    const auto progress = co_await withdrawKeyNow(core, std::move(operation), reason);
    if (!progress)
        co_return errorResponse(reason);
    json::array waiting;
    for (const auto& member : progress->m_waiting)
        waiting.push_back(json::value(member));
    const auto members = progress->m_inForce.size() + progress->m_waiting.size();
    co_return jsonResponse({ { "accepted", true }, { "recorded", progress->m_recorded },
        { "in_force", progress->m_inForce.size() }, { "members", members }, { "waiting", std::move(waiting) } });
}

auto listKeys(ControlCore& core, ApiCall) -> asio::awaitable<HttpResponse>
{
    json::array rows;
    for (const auto& [id, key] : core.m_state.m_keys.m_keys)
        rows.push_back(json::object { { "key_id", id }, { "team", key.m_team }, { "author", key.m_author },
            { "withdrawn", key.m_withdrawn }, { "reason", key.m_reason } });
    co_return jsonResponse({ { "keys", std::move(rows) } });
}

} // namespace

auto addKeyRoutes(Router& router, ControlCore& core) -> void
{
    router.add("POST", "/v1/keys", [&core](ApiCall call) { return grantKey(core, std::move(call)); });
    router.add("GET", "/v1/keys", [&core](ApiCall call) { return listKeys(core, std::move(call)); });
    router.add("DELETE", "/v1/keys/{}", [&core](ApiCall call) { return withdrawKey(core, std::move(call)); });
}

} // namespace hemlockvane::detail
