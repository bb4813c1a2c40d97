#include "hemlockvane/membership/MembershipPlan.h"

#include "hemlockvane/membership/Duties.h"

#include <algorithm>

namespace hemlockvane {

namespace {

auto hasFreshList(const PlannerState& state, Instant now) -> bool
{
    return state.m_list.m_requestedAt != Instant::min()
        && now < state.m_list.m_requestedAt + state.m_limits.m_maximumListAge;
}

auto isResponsive(const PlannerState& state, std::string_view member, Instant now) -> bool
{
    const auto found = state.m_lastHeardAt.find(member);
    return found != state.m_lastHeardAt.end() && now < found->second + state.m_limits.m_silenceTimeout;
}

// Starts the message timeout of new members and erases removed ones.
auto trackMembers(PlannerState& state, const MembershipState& members, Instant now) -> void
{
    for (const auto& [member, record] : members.m_entries)
        if (record.m_removedAt == 0)
            state.m_lastHeardAt.emplace(member, now);
    std::erase_if(state.m_lastHeardAt, [&](const auto& heard) { return !isMember(members, heard.first); });
}

// Members that may take duties: this entry, and those that are not leaving, not failed and responsive.
auto findCandidates(const PlannerState& state, Instant now) -> std::vector<std::string>
{
    const auto listIsFresh = hasFreshList(state, now);
    std::vector<std::string> candidates;
    for (const auto& [member, heardAt] : state.m_lastHeardAt) {
        const auto isLive = !listIsFresh || isListedLive(state.m_list, member);
        if (member == state.m_self || (isLive && isResponsive(state, member, now)))
            candidates.push_back(member);
    }
    return candidates;
}

// True if this entry must attempt an action on the subject now. Schedules the next attempt after the retry interval.
auto isAttemptDue(PlannerState& state, const std::string& subject, std::span<const std::string> candidates, Instant now)
    -> bool
{
    auto due = state.m_attemptAt.find(subject);
    if (due == state.m_attemptAt.end()) {
        const auto rank = static_cast<Duration::rep>(rendezvousRank(subject, candidates, state.m_self));
        due = state.m_attemptAt.emplace(subject, now + rank * state.m_limits.m_attemptDelay).first;
    }
    if (now < due->second)
        return false;
    due->second = now + state.m_limits.m_retryInterval;
    return true;
}

auto mustBeRemoved(const PlannerState& state, const std::string& member, Instant now) -> bool
{
    return hasFreshList(state, now) && !isListed(state.m_list, member) && !isResponsive(state, member, now);
}

auto planRemovals(PlannerState& state, std::span<const std::string> candidates, Instant now,
    std::vector<MembershipAction>& actions) -> void
{
    for (const auto& [member, heardAt] : state.m_lastHeardAt) {
        if (member == state.m_self)
            continue;
        if (!mustBeRemoved(state, member, now))
            state.m_attemptAt.erase(member);
        else if (isAttemptDue(state, member, candidates, now))
            actions.push_back({ MembershipStep::RemoveEntry, member, 0, "it is silent and gone from the list" });
    }
}

auto planTakeovers(PlannerState& state, const MembershipState& members, std::span<const std::string> candidates,
    Instant now, std::vector<MembershipAction>& actions) -> void
{
    for (const auto& duty : state.m_duties) {
        const auto found = members.m_duties.find(duty);
        const auto record = found == members.m_duties.end() ? DutyRecord {} : found->second;
        if (isMember(members, record.m_holder))
            state.m_attemptAt.erase(duty);
        else if (isAttemptDue(state, duty, candidates, now))
            actions.push_back({ MembershipStep::TakeDuty, duty, record.m_epoch, "it has no living holder" });
    }
}

// Releases one duty of this entry to its first choice, so that entries that joined later get their share of duties.
auto planRebalancing(PlannerState& state, const MembershipState& members, std::span<const std::string> candidates,
    Instant now, std::vector<MembershipAction>& actions) -> void
{
    if (now < state.m_rebalancedAt + state.m_limits.m_rebalanceInterval)
        return;
    for (const auto& duty : state.m_duties) {
        const auto found = members.m_duties.find(duty);
        if (found == members.m_duties.end() || found->second.m_holder != state.m_self)
            continue;
        if (rendezvousRank(duty, candidates, state.m_self) == 0)
            continue;
        state.m_rebalancedAt = now;
        actions.push_back({ MembershipStep::ReleaseDuty, duty, found->second.m_epoch, "another entry is preferred" });
        return;
    }
}

auto isLeaving(const PlannerState& state, Instant now) -> bool
{
    const auto listedLeaving = isListed(state.m_list, state.m_self) && !isListedLive(state.m_list, state.m_self);
    return state.m_isLeaving || (listedLeaving && hasFreshList(state, now));
}

auto mustStop(PlannerState& state, const MembershipState& members, Instant now) -> bool
{
    const auto member = isMember(members, state.m_self);
    const auto listed = isListed(state.m_list, state.m_self);
    state.m_wasMember = state.m_wasMember || member;
    state.m_wasListed = state.m_wasListed || listed;
    return (state.m_wasMember && !member) || (state.m_wasListed && !listed && hasFreshList(state, now));
}

} // namespace

auto makePlanner(std::string self, std::vector<std::string> duties, const PlannerLimits& limits, Instant now)
    -> PlannerState
{
    PlannerState state;
    state.m_limits = limits;
    state.m_self = std::move(self);
    state.m_duties = std::move(duties);
    state.m_rebalancedAt = now;
    return state;
}

auto onPeerMessage(PlannerState& state, std::string_view peer, Instant now) -> void
{
    const auto found = state.m_lastHeardAt.find(peer);
    if (found != state.m_lastHeardAt.end())
        found->second = std::max(found->second, now);
}

auto onInstanceList(PlannerState& state, InstanceListView view) -> void
{
    if (view.m_requestedAt >= state.m_list.m_requestedAt && !view.m_instances.empty())
        state.m_list = std::move(view);
}

auto planMembership(PlannerState& state, const MembershipState& members, Instant now) -> std::vector<MembershipAction>
{
    std::vector<MembershipAction> actions;
    if (mustStop(state, members, now)) {
        actions.push_back({ MembershipStep::StopSelf, state.m_self, 0, "it was removed or is off the list" });
        return actions;
    }
    if (!isMember(members, state.m_self))
        return actions;
    trackMembers(state, members, now);
    const auto candidates = findCandidates(state, now);
    planRemovals(state, candidates, now, actions);
    if (isLeaving(state, now))
        return actions;
    planTakeovers(state, members, candidates, now, actions);
    planRebalancing(state, members, candidates, now, actions);
    return actions;
}

auto planHandover(const PlannerState& state, const MembershipState& members) -> std::vector<MembershipAction>
{
    std::vector<MembershipAction> actions;
    for (const auto& [duty, record] : members.m_duties)
        if (record.m_holder == state.m_self)
            actions.push_back({ MembershipStep::ReleaseDuty, duty, record.m_epoch, "planned stop" });
    if (actions.empty() && isMember(members, state.m_self))
        actions.push_back({ MembershipStep::LeaveFleet, state.m_self, 0, "planned stop" });
    return actions;
}

} // namespace hemlockvane
