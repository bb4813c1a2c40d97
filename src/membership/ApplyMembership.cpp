#include "hemlockvane/membership/ApplyMembership.h"

#include "hemlockvane/log/FleetState.h"

#include "hemlockvane/records.pb.h"

namespace hemlockvane {

auto apply(FleetState& state, const wire::JoinEntry& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    auto& entries = state.m_membership.m_entries;
    if (change.instance().empty() || change.zone().empty() || change.address().empty())
        return fail(reason, ErrorKind::BadRequest, "an entry needs an id, a zone and an address");
    if (entries.contains(change.instance()))
        return fail(reason, ErrorKind::Conflict, "instance id " + change.instance() + " was used before");
    entries[change.instance()]
        = EntryRecord { change.zone(), change.address(), change.traffic_address(), context.m_offset, 0, 0, false };
    state.m_membership.m_version = context.m_offset;
    return context.m_offset;
}

auto apply(FleetState& state, const wire::RemoveEntry& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    if (!isMember(state.m_membership, change.instance()))
        return fail(reason, ErrorKind::NotFound, "there is no entry " + change.instance());
    auto& entry = state.m_membership.m_entries.find(change.instance())->second;
    entry.m_removedAt = context.m_offset;
    entry.m_removedAtMs = state.m_clock;
    state.m_membership.m_removed.emplace(entry.m_removedAtMs, change.instance());
    entry.m_planned = change.planned() && change.instance() == context.m_author;
    state.m_membership.m_version = context.m_offset;
    return context.m_offset;
}

auto apply(FleetState& state, const wire::TakeDuty& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    auto& membership = state.m_membership;
    if (change.duty().empty())
        return fail(reason, ErrorKind::BadRequest, "a duty needs a name");
    if (!isMember(membership, change.instance()))
        return fail(reason, ErrorKind::NotFound, "there is no entry " + change.instance());
    auto& duty = membership.m_duties[change.duty()];
    if (duty.m_epoch != change.replaces_epoch())
        return fail(reason, ErrorKind::StaleEpoch, "the duty's epoch is " + std::to_string(duty.m_epoch));
    if (!duty.m_holder.empty() && isMember(membership, duty.m_holder))
        return fail(reason, ErrorKind::Conflict, "held by " + duty.m_holder);
    duty = DutyRecord { change.instance(), context.m_offset };
    state.m_membership.m_version = context.m_offset;
    return context.m_offset;
}

auto apply(FleetState& state, const wire::ReleaseDuty& change, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    auto& membership = state.m_membership;
    if (!isFenceValid(membership, change.fence().duty(), change.fence().epoch()))
        return fail(reason, ErrorKind::StaleEpoch, "the duty " + change.fence().duty() + " has another epoch");
    membership.m_duties.find(change.fence().duty())->second.m_holder.clear();
    state.m_membership.m_version = context.m_offset;
    return context.m_offset;
}

} // namespace hemlockvane
