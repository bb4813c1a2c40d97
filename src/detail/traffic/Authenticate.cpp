#include "hemlockvane/detail/traffic/Authenticate.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/detail/api/BearerKey.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/crypto/Sha256.h"

namespace hemlockvane::detail {

namespace {

auto findKey(const TrafficView& view, std::string_view key, LastReason& reason) -> std::optional<Caller>
{
    const auto found = view.m_keys->m_idByHash.find(sha256(key));
    if (found == view.m_keys->m_idByHash.end())
        return fail(reason, ErrorKind::UnknownKey, "the key is not known");
    const auto& id = found->second;
    const auto& record = view.m_keys->m_keys.find(id)->second;
    const auto isFlooded = view.m_floodedWithdrawals && view.m_floodedWithdrawals->contains(id);
    if (record.m_withdrawn || isFlooded)
        return fail(reason, ErrorKind::WithdrawnKey, "the key " + id + " was withdrawn");
    return Caller { record.m_team, id };
}

} // namespace

auto authenticate(const TrafficView& view, const HttpRequest& request, std::string_view queue, Instant now,
    LastReason& reason) -> std::optional<Caller>
{
    if (now >= view.m_vouchedUntil)
        return fail(reason, ErrorKind::NotVouched, "this entry cannot vouch for its view of keys and settings now");
    const auto key = bearerKey(request);
    if (!key.empty())
        return findKey(view, key, reason);
    if (effectiveValue(*view.m_configuration, "queue.open", queue, wallNow()).m_value != 0)
        return Caller {};
    return fail(reason, ErrorKind::UnknownKey, "queue " + std::string(queue) + " takes work with a key only");
}

} // namespace hemlockvane::detail
