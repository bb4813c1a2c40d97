#include "hemlockvane/limits/EscrowMember.h"

#include "hemlockvane/limits/CapacityHistory.h"
#include "hemlockvane/limits/EscrowResource.h"

#include "hemlockvane/peers.pb.h"

#include <algorithm>

namespace hemlockvane {

namespace {

auto permitsOf(EscrowMember& member, std::string_view resource) -> MemberPermits&
{
    const auto found = member.m_resources.find(resource);
    if (found != member.m_resources.end())
        return found->second;
    auto& permits = member.m_resources[std::string(resource)];
    permits.m_duty = escrowDuty(resource);
    return permits;
}

auto epochOf(const EscrowMember& member, std::string_view duty) -> Offset
{
    const auto found = member.m_epochs.find(duty);
    return found == member.m_epochs.end() ? 0 : found->second;
}

auto freePermits(const MemberPermits& permits) -> std::uint32_t
{
    const auto held = permitsHeld(permits);
    const auto usable = permits.m_recall > 0 ? std::min(held, permits.m_target) : held;
    return usable > permits.m_used ? usable - permits.m_used : 0;
}

auto returnPermits(MemberPermits& permits, std::uint32_t keep) -> void
{
    const auto held = permitsHeld(permits);
    keep = std::max(keep, permits.m_used);
    if (held <= keep)
        return;
    permits.m_returned += held - keep;
    permits.m_changed = true;
    permits.m_surplusSince.reset();
}

// Returns recalled permits at once, and surplus permits after the idle timeout.
auto returnIdle(MemberPermits& permits, const EscrowTiming& timing, Instant now) -> void
{
    if (permits.m_recall > 0) {
        returnPermits(permits, permits.m_target);
        return;
    }
    const auto keep = std::max({ permits.m_target, permits.m_demand, permits.m_used });
    if (permitsHeld(permits) <= keep) {
        permits.m_surplusSince.reset();
        return;
    }
    if (!permits.m_surplusSince)
        permits.m_surplusSince = now;
    if (now - *permits.m_surplusSince >= timing.m_idleTimeout)
        returnPermits(permits, keep);
}

// True when the demand must not be delayed: it is the first one, returns permits that others may wait for, or reports a
// shortage for the first time.
auto isUrgent(const MemberPermits& permits) -> bool
{
    const auto isShort = permits.m_demand > permitsHeld(permits);
    return permits.m_sequence == 0 || permits.m_returned > permits.m_returnedSent
        || (isShort && !permits.m_shortageSent);
}

auto isDue(const MemberPermits& permits, const EscrowTiming& timing, Instant now) -> bool
{
    const auto age = now - permits.m_sentAt;
    if (permits.m_changed)
        return isUrgent(permits) || age >= timing.m_demandInterval;
    const auto unanswered = permits.m_sequence > permits.m_acknowledged || permits.m_demand > permitsHeld(permits);
    return unanswered && age >= timing.m_resendInterval;
}

auto makeDemand(MemberPermits& permits, std::string_view resource, Offset epoch, Instant now) -> wire::EscrowDemand
{
    permits.m_changed = false;
    permits.m_sentAt = now;
    permits.m_returnedSent = permits.m_returned;
    permits.m_shortageSent = permits.m_demand > permitsHeld(permits);
    ++permits.m_sequence;
    wire::EscrowDemand demand;
    demand.mutable_fence()->set_duty(permits.m_duty);
    demand.mutable_fence()->set_epoch(epoch);
    demand.set_resource(std::string(resource));
    demand.set_held(permitsHeld(permits));
    demand.set_wanted(permits.m_demand);
    demand.set_returned(permits.m_returned);
    demand.set_granted_seen(permits.m_grantedSeen);
    demand.set_folded_end(permits.m_foldedEnd);
    demand.set_sequence(permits.m_sequence);
    for (const auto& team : permits.m_teams) {
        auto* line = demand.add_teams();
        line->set_team(team.m_team);
        line->set_wanted(team.m_demand);
    }
    return demand;
}

auto copyShares(const wire::EscrowGrant& grant) -> std::vector<TeamShare>
{
    std::vector<TeamShare> shares;
    for (const auto& line : grant.shares())
        shares.push_back({ line.team(), line.milli_permits() });
    return shares;
}

// Restarts the totals for a new epoch from the permits in hand.
auto restartTotals(MemberPermits& permits) -> void
{
    permits.m_base = permitsHeld(permits);
    permits.m_grantedSeen = 0;
    permits.m_returned = 0;
    permits.m_returnedSent = 0;
    permits.m_target = permits.m_base;
    permits.m_recall = 0;
    permits.m_grantSequence = 0;
    permits.m_acknowledged = 0;
    permits.m_sequence = 0;
    permits.m_changed = true;
}

} // namespace

auto tryAcquire(EscrowMember& member, std::string_view resource, Instant now) -> bool
{
    auto& permits = permitsOf(member, resource);
    if (freePermits(permits) == 0)
        return false;
    ++permits.m_used;
    returnIdle(permits, member.m_timing, now);
    return true;
}

auto release(EscrowMember& member, std::string_view resource, Instant now) -> void
{
    auto& permits = permitsOf(member, resource);
    if (permits.m_used == 0)
        return;
    --permits.m_used;
    returnIdle(permits, member.m_timing, now);
}

auto releaseToLog(EscrowMember& member, std::string_view resource, Offset offset) -> void
{
    auto& permits = permitsOf(member, resource);
    if (permits.m_used == 0)
        return;
    --permits.m_used;
    ++permits.m_returned;
    permits.m_foldedEnd = std::max(permits.m_foldedEnd, offset + 1);
    permits.m_changed = true;
}

auto setDemand(EscrowMember& member, std::string_view resource, std::uint32_t demand) -> void
{
    auto& permits = permitsOf(member, resource);
    if (permits.m_demand == demand)
        return;
    permits.m_demand = demand;
    permits.m_changed = true;
}

auto setTeamDemands(EscrowMember& member, std::string_view resource, std::span<const TeamDemand> teams) -> void
{
    auto& permits = permitsOf(member, resource);
    if (std::equal(teams.begin(), teams.end(), permits.m_teams.begin(), permits.m_teams.end()))
        return;
    permits.m_teams.assign(teams.begin(), teams.end());
    permits.m_changed = true;
}

auto permitsFree(const EscrowMember& member, std::string_view resource) -> std::uint32_t
{
    const auto found = member.m_resources.find(resource);
    return found == member.m_resources.end() ? 0 : freePermits(found->second);
}

auto adoptEpoch(EscrowMember& member, std::string_view duty, Offset epoch) -> bool
{
    const auto known = epochOf(member, duty);
    if (epoch <= known)
        return epoch == known;
    member.m_epochs[std::string(duty)] = epoch;
    for (auto& [resource, permits] : member.m_resources) {
        if (permits.m_duty == duty)
            restartTotals(permits);
    }
    return true;
}

auto answerReportRequest(EscrowMember& member, const wire::EscrowReportRequest& request, const CapacityHistory& history,
    Instant now) -> std::optional<wire::EscrowReport>
{
    const auto& duty = request.fence().duty();
    if (!adoptEpoch(member, duty, request.fence().epoch()))
        return std::nullopt;
    wire::EscrowReport report;
    *report.mutable_fence() = request.fence();
    std::map<std::string_view, std::uint32_t> peaks;
    for (const auto& [resource, changes] : history.m_resources) {
        const auto peak = peakCapacity(history, resource, now - capacityWindow(member.m_timing));
        if (escrowDuty(resource) == duty && peak > changes.back().m_capacity)
            peaks[resource] = peak;
    }
    for (const auto& [resource, permits] : member.m_resources) {
        if (permits.m_duty == duty && permits.m_base > 0)
            peaks.try_emplace(resource, 0);
    }
    for (const auto& [resource, peak] : peaks) {
        const auto found = member.m_resources.find(resource);
        auto* holding = report.add_holdings();
        holding->set_resource(std::string(resource));
        holding->set_held(found == member.m_resources.end() ? 0 : found->second.m_base);
        holding->set_peak_capacity(peak);
    }
    return report;
}

auto receiveGrant(EscrowMember& member, const wire::EscrowGrant& grant, Instant now) -> void
{
    if (grant.fence().epoch() == 0 || grant.fence().epoch() != epochOf(member, grant.fence().duty()))
        return;
    auto& permits = permitsOf(member, grant.resource());
    if (permits.m_duty != grant.fence().duty())
        return;
    if (grant.granted() > permits.m_grantedSeen) {
        permits.m_grantedSeen = grant.granted();
        permits.m_changed = true;
    }
    if (grant.sequence() > permits.m_grantSequence) {
        permits.m_grantSequence = grant.sequence();
        permits.m_target = grant.target();
        permits.m_recall = grant.recall();
        permits.m_shares = copyShares(grant);
        permits.m_acknowledged = std::max(permits.m_acknowledged, grant.acknowledged());
    }
    returnIdle(permits, member.m_timing, now);
}

auto forgetResource(EscrowMember& member, std::string_view resource) -> bool
{
    const auto found = member.m_resources.find(resource);
    if (found == member.m_resources.end())
        return true;
    if (permitsHeld(found->second) > 0)
        return false;
    member.m_resources.erase(found);
    return true;
}

auto dueDemands(EscrowMember& member, Instant now) -> std::vector<wire::EscrowDemand>
{
    std::vector<wire::EscrowDemand> demands;
    for (auto& [resource, permits] : member.m_resources) {
        returnIdle(permits, member.m_timing, now);
        const auto epoch = epochOf(member, permits.m_duty);
        if (epoch > 0 && isDue(permits, member.m_timing, now))
            demands.push_back(makeDemand(permits, resource, epoch, now));
    }
    return demands;
}

} // namespace hemlockvane
