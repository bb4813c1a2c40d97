#include "hemlockvane/detail/traffic/Authenticate.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/detail/api/BearerKey.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/crypto/Sha256.h"

namespace hemlockvane::detail {

namespace {

auto checkVouch(const TrafficView& view, Instant now, LastReason& reason) -> bool
{
    if (now < view.m_vouchedUntil)
        return true;
    fail(reason, ErrorKind::NotVouched, "this entry cannot vouch for its view of keys and settings now");
    return false;
}

auto isWithdrawn(const TrafficView& view, const std::string& id) -> bool
{
    const auto isFlooded = view.m_floodedWithdrawals && view.m_floodedWithdrawals->contains(id);
    const auto found = view.m_keys->m_keys.find(id);
    return isFlooded || found == view.m_keys->m_keys.end() || found->second.m_withdrawn;
}

auto findKey(const TrafficView& view, std::string_view key, LastReason& reason) -> std::optional<Caller>
{
    const auto found = view.m_keys->m_idByHash.find(sha256(key));
    if (found == view.m_keys->m_idByHash.end())
        return fail(reason, ErrorKind::UnknownKey, "the key is not known");
    const auto& id = found->second;
    if (isWithdrawn(view, id))
        return fail(reason, ErrorKind::WithdrawnKey, "the key " + id + " was withdrawn");
    return Caller { view.m_keys->m_keys.find(id)->second.m_team, id };
}

} // namespace

auto authenticate(const TrafficView& view, const HttpRequest& request, std::string_view queue, Instant now,
    LastReason& reason) -> std::optional<Caller>
{
    if (!checkVouch(view, now, reason))
        return std::nullopt;
    const auto key = bearerKey(request);
    if (!key.empty())
        return findKey(view, key, reason);
    if (effectiveValue(*view.m_configuration, "queue.open", queue, wallNow()).m_value != 0)
        return Caller {};
    return fail(reason, ErrorKind::UnknownKey, "queue " + std::string(queue) + " takes work with a key only");
}

auto mayStillSend(const TrafficView& view, const Caller& caller, Instant deadline, Instant now, LastReason& reason)
    -> bool
{
    if (!checkVouch(view, now, reason))
        return false;
    if (!caller.m_keyId.empty() && isWithdrawn(view, caller.m_keyId)) {
        fail(reason, ErrorKind::WithdrawnKey, "the key " + caller.m_keyId + " was withdrawn");
        return false;
    }
    if (now < deadline)
        return true;
    fail(reason, ErrorKind::DeadlinePassed, "the deadline passed before the request was sent");
    return false;
}

} // namespace hemlockvane::detail
