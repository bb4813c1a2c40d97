#include "hemlockvane/membership/Vouch.h"

#include <algorithm>

namespace hemlockvane {

namespace {

auto extendVouch(VouchState& state, Instant from) -> void
{
    state.m_vouchedFrom = std::max(state.m_vouchedFrom.value_or(from), from);
}

// True if the list showed the member earlier and does not show it now. A member that was never listed may still appear.
auto hasLeftList(const VouchState& state, std::string_view member) -> bool
{
    return state.m_onceListed.contains(member) && !isListed(state.m_list, member);
}

// True if the peer cannot read the log and has seen no record that this entry has not folded.
auto isNotAhead(const VouchState& state, const PeerReport& report) -> bool
{
    return !report.m_logReachable && report.m_foldedEnd <= state.m_foldedEnd;
}

// True if the peer's report supports an extension of the vouch. Lowers `from` to the time of the heartbeat that the
// peer answered.
auto supports(const VouchState& state, std::string_view peer, Instant& from) -> bool
{
    const auto found = state.m_reports.find(peer);
    if (found == state.m_reports.end() || !isNotAhead(state, found->second))
        return false;
    from = std::min(from, found->second.m_requestedAt);
    return true;
}

auto everyPeerSupports(const VouchState& state, const MembershipState& members, Instant& from) -> bool
{
    for (const auto& [peer, status] : state.m_list.m_instances)
        if (peer != state.m_self && status != ListedStatus::Failed && !supports(state, peer, from))
            return false;
    for (const auto& [member, record] : members.m_entries) {
        if (member == state.m_self || record.m_removedAt != 0 || hasLeftList(state, member))
            continue;
        if (!supports(state, member, from))
            return false;
    }
    return true;
}

auto extendFromPeers(VouchState& state, const MembershipState& members, Instant now) -> void
{
    if (!mayAct(state, now) || state.m_foldedEnd < state.m_knownEnd || !isListed(state.m_list, state.m_self))
        return;
    auto from = state.m_list.m_requestedAt;
    if (everyPeerSupports(state, members, from))
        extendVouch(state, from);
}

} // namespace

auto onFoldedEnd(VouchState& state, Offset foldedEnd) -> void
{
    state.m_foldedEnd = foldedEnd;
    onKnownEnd(state, foldedEnd);
}

auto onKnownEnd(VouchState& state, Offset end) -> void { state.m_knownEnd = std::max(state.m_knownEnd, end); }

auto onLogRead(VouchState& state, Instant sentAt, Offset logEnd) -> void
{
    onKnownEnd(state, logEnd);
    if (state.m_foldedEnd < logEnd)
        return;
    state.m_logReadFrom = std::max(state.m_logReadFrom.value_or(sentAt), sentAt);
    extendVouch(state, sentAt);
}

auto onInstanceList(VouchState& state, const MembershipState& members, InstanceListView view, Instant now) -> void
{
    if (view.m_requestedAt < state.m_list.m_requestedAt || view.m_instances.empty())
        return;
    for (const auto& [instance, status] : view.m_instances)
        state.m_onceListed.insert(instance);
    std::erase_if(state.m_onceListed,
        [&](const auto& instance) { return !view.m_instances.contains(instance) && !isMember(members, instance); });
    state.m_list = std::move(view);
    std::erase_if(state.m_reports, [&](const auto& report) {
        return !state.m_list.m_instances.contains(report.first) && !isMember(members, report.first);
    });
    extendFromPeers(state, members, now);
}

auto onPeerReport(VouchState& state, const MembershipState& members, std::string_view peer, const PeerReport& report,
    Instant now) -> void
{
    onKnownEnd(state, report.m_foldedEnd);
    auto& latest = state.m_reports[std::string(peer)];
    if (report.m_requestedAt < latest.m_requestedAt)
        return;
    latest = report;
    if (report.m_logReadAge && report.m_foldedEnd <= state.m_foldedEnd)
        extendVouch(state, report.m_requestedAt - *report.m_logReadAge);
    extendFromPeers(state, members, now);
}

auto readsLog(const VouchState& state, Instant now) -> bool
{
    return state.m_logReadFrom && now < *state.m_logReadFrom + state.m_limits.m_tenure / 2;
}

auto logReadAge(const VouchState& state, Instant now) -> std::optional<Duration>
{
    return state.m_logReadFrom ? std::optional(now - *state.m_logReadFrom) : std::nullopt;
}

auto mayAct(const VouchState& state, Instant now) -> bool { return now < vouchedUntil(state); }

auto vouchedUntil(const VouchState& state) -> Instant
{
    return state.m_vouchedFrom ? *state.m_vouchedFrom + state.m_limits.m_tenure : Instant::min();
}

auto removedEntryHasStopped(const VouchLimits& limits, Instant readBackAt, Instant now) -> bool
{
    return now >= readBackAt + limits.m_tenure + 2 * limits.m_listLag + limits.m_clockDrift;
}

auto mayStartTakeover(const VouchState& state, Instant readBackAt, Instant now) -> bool
{
    return removedEntryHasStopped(state.m_limits, readBackAt, now)
        && removedEntryHasStopped(state.m_limits, readBackAt, state.m_list.m_requestedAt)
        && isListed(state.m_list, state.m_self);
}

} // namespace hemlockvane
