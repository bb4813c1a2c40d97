#include "hemlockvane/detail/traffic/Authenticate.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/detail/api/BearerKey.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/crypto/Sha256.h"
#include "hemlockvane/keys/CheckKey.h"
#include "hemlockvane/keys/KeyCheckRequest.h"

namespace hemlockvane::detail {

namespace {

constexpr std::string_view teamField = "X-Team";

auto ask(const TrafficView& view, const Caller& caller, std::string_view team, Instant now, FailureReason& reason)
    -> std::optional<std::string>
{
    const KeyCheckRequest keyCheck { caller.m_keyHash, team, caller.m_isQueueOpen, now < view.m_vouchedUntil };
    return checkKey(*view.m_keys, *view.m_pendingWithdrawals, keyCheck, reason);
}

} // namespace

auto authenticate(const TrafficView& view, const HttpRequest& request, std::string_view queue, Instant now,
    FailureReason& reason) -> std::optional<Caller>
{
    Caller caller;
    const auto key = bearerKey(request);
    if (!key.empty())
        caller.m_keyHash = sha256(key);
    caller.m_isQueueOpen = effectiveValue(*view.m_configuration, "queue.open", queue, wallNow()).m_value != 0;
    auto team = ask(view, caller, findHeader(request.m_headers, teamField), now, reason);
    if (!team)
        return std::nullopt;
    caller.m_team = std::move(*team);
    return caller;
}

auto mayStillSend(const TrafficView& view, const Caller& caller, Instant deadline, Instant now, FailureReason& reason)
    -> bool
{
    if (!ask(view, caller, caller.m_team, now, reason))
        return false;
    if (now < deadline)
        return true;
    fail(reason, ErrorKind::DeadlinePassed, "the deadline passed before the request was sent");
    return false;
}

} // namespace hemlockvane::detail
