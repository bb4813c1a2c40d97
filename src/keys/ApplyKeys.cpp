#include "hemlockvane/keys/ApplyKeys.h"

#include "hemlockvane/log/FleetState.h"

#include "hemlockvane/records.pb.h"

namespace hemlockvane {

namespace {

constexpr std::size_t hashBytesLength = 32;

} // namespace

auto apply(FleetState& state, const wire::GrantKey& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    auto& keys = state.m_keys;
    if (change.key_id().empty() || change.team().empty() || change.key_hash().size() != hashBytesLength)
        return fail(reason, ErrorKind::BadRequest, "a key needs an id, a team and a SHA-256 hash");
    if (keys.m_keys.contains(change.key_id()))
        return fail(reason, ErrorKind::Conflict, "key id " + change.key_id() + " was granted before");
    if (keys.m_idByHash.contains(change.key_hash()))
        return fail(reason, ErrorKind::Conflict, "this key was granted before");
    keys.m_keys[change.key_id()] = KeyRecord { change.key_hash(), change.team(), change.author(), "", false };
    keys.m_idByHash[change.key_hash()] = change.key_id();
    state.m_keys.m_version = context.m_offset;
    return context.m_offset;
}

auto apply(FleetState& state, const wire::WithdrawKey& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    const auto found = state.m_keys.m_keys.find(change.key_id());
    if (found == state.m_keys.m_keys.end())
        return fail(reason, ErrorKind::NotFound, "there is no key " + change.key_id());
    if (!found->second.m_withdrawn) {
        found->second.m_withdrawn = true;
        found->second.m_reason = change.reason();
    }
    state.m_keys.m_version = context.m_offset;
    return context.m_offset;
}

} // namespace hemlockvane
