#include "hemlockvane/limits/EscrowHolder.h"

#include "hemlockvane/limits/EscrowResource.h"
#include "hemlockvane/shares/FairShares.h"

#include <algorithm>
#include <utility>

namespace hemlockvane {

namespace {

// Permit seconds. Limits how long a member can keep a permit as compensation for an earlier shortage.
constexpr double maximumCredit = 2;

auto loggedPermits(const EscrowHolder& holder, std::string_view resource) -> std::uint32_t
{
    const auto found = holder.m_loggedPermits.find(resource);
    return found == holder.m_loggedPermits.end() ? 0 : found->second;
}

auto chargedToMembers(const HolderResource& state) -> std::uint32_t
{
    std::uint32_t charged = 0;
    for (const auto& [instance, ledger] : state.m_members)
        charged += permitsCharged(ledger);
    return charged;
}

auto chargedToRemoved(const HolderResource& state) -> std::uint32_t
{
    std::uint32_t charged = 0;
    for (const auto& removed : state.m_removed)
        charged += removed.m_permits;
    return charged;
}

// Permits that may not be granted because jobs use them or removed members may still use them.
auto unavailablePermits(const EscrowHolder& holder, const HolderDuty& duty, std::string_view resource,
    const HolderResource& state, Instant now) -> std::uint32_t
{
    std::uint32_t permits = loggedPermits(holder, resource);
    for (const auto& removed : state.m_removed) {
        if (removed.m_expiresAt > now)
            permits += removed.m_permits;
    }
    return duty.m_unreportedUntil > now ? permits + state.m_unreported : permits;
}

auto saturatingSubtract(std::uint32_t from, std::uint32_t amount) -> std::uint32_t
{
    return from - std::min(from, amount);
}

// Charges all permits that are not accounted for, of the largest capacity under which they may have been granted, to
// the removed members that did not report.
auto chargeUnreported(const EscrowHolder& holder, std::string_view resource, HolderResource& state) -> void
{
    const auto since = holder.m_removalGraceEnd - capacityWindow(holder.m_timing);
    const auto peak = std::max(state.m_peak, peakCapacity(holder.m_capacities, resource, since));
    const auto known = chargedToMembers(state) + chargedToRemoved(state) + loggedPermits(holder, resource);
    state.m_unreported = saturatingSubtract(peak, known);
}

auto stateOf(const EscrowHolder& holder, HolderDuty& duty, std::string_view resource) -> HolderResource&
{
    const auto found = duty.m_resources.find(resource);
    if (found != duty.m_resources.end())
        return found->second;
    auto& state = duty.m_resources[std::string(resource)];
    if (duty.m_active)
        chargeUnreported(holder, resource, state);
    return state;
}

auto heldDuty(EscrowHolder& holder, const wire::Fence& fence) -> HolderDuty*
{
    const auto found = holder.m_duties.find(fence.duty());
    return found != holder.m_duties.end() && found->second.m_epoch == fence.epoch() ? &found->second : nullptr;
}

auto hasReported(const EscrowHolder& holder, const HolderDuty& duty) -> bool
{
    return std::all_of(holder.m_members.begin(), holder.m_members.end(),
        [&](const auto& member) { return member.second > duty.m_epoch || duty.m_reported.contains(member.first); });
}

auto activateDuty(const EscrowHolder& holder, std::string_view name, HolderDuty& duty) -> void
{
    if (duty.m_active || !hasReported(holder, duty))
        return;
    for (const auto& [resource, changes] : holder.m_capacities.m_resources) {
        if (escrowDuty(resource) == name)
            stateOf(holder, duty, resource);
    }
    for (auto& [resource, state] : duty.m_resources)
        chargeUnreported(holder, resource, state);
    duty.m_active = true;
}

auto requestReports(const EscrowHolder& holder, std::string_view name, HolderDuty& duty, Instant now,
    std::vector<EscrowMessage>& messages) -> void
{
    if (duty.m_requestedAt != Instant {} && now - duty.m_requestedAt < holder.m_timing.m_resendInterval)
        return;
    for (const auto& [instance, joinedAt] : holder.m_members) {
        if (duty.m_reported.contains(instance))
            continue;
        duty.m_requestedAt = now;
        EscrowMessage message { instance, {} };
        auto* fence = message.m_envelope.mutable_escrow_report_request()->mutable_fence();
        fence->set_duty(std::string(name));
        fence->set_epoch(duty.m_epoch);
        messages.push_back(std::move(message));
    }
}

auto updateCredits(HolderResource& state, std::span<const double> shares, Instant now) -> void
{
    const auto seconds
        = std::chrono::duration<double>(std::min<Duration>(now - state.m_balancedAt, std::chrono::seconds(1))).count();
    std::size_t i = 0;
    for (auto& [instance, ledger] : state.m_members) {
        const auto missing = shares[i++] - permitsCharged(ledger);
        ledger.m_credit = std::clamp(ledger.m_credit + missing * seconds, -maximumCredit, maximumCredit);
    }
}

// Sets the targets to equal max-min fair shares of the demands. Half of the permits beyond the total demand is spread
// evenly.
auto computeTargets(HolderResource& state, std::uint32_t capacity, Instant now) -> void
{
    if (state.m_members.empty())
        return;
    std::vector<Demand> demands;
    std::vector<double> credits;
    auto totalDemand = 0.0;
    for (const auto& [instance, ledger] : state.m_members) {
        demands.push_back({ 1, static_cast<double>(ledger.m_demand) });
        totalDemand += ledger.m_demand;
    }
    const auto shares = fairShares(demands, capacity);
    updateCredits(state, shares, now);
    for (const auto& [instance, ledger] : state.m_members)
        credits.push_back(ledger.m_credit);
    const auto units = apportion(shares, credits);
    const auto surplus = totalDemand < capacity ? static_cast<std::uint32_t>(capacity - totalDemand) : 0;
    state.m_contended = totalDemand > capacity;
    const auto extraPerMember = surplus / 2 / static_cast<std::uint32_t>(state.m_members.size());
    std::size_t i = 0;
    for (auto& [instance, ledger] : state.m_members)
        ledger.m_target = units[i++] + extraPerMember;
}

// Grants free permits up to the targets, one at a time to the member that is furthest below its target.
auto grantFree(HolderResource& state, std::uint32_t free) -> void
{
    const auto needsLess = [](const auto& left, const auto& right) {
        const auto missing = [](const HolderLedger& ledger) {
            return static_cast<std::int64_t>(ledger.m_target) - permitsCharged(ledger);
        };
        return missing(left.second) < missing(right.second);
    };
    while (free > 0 && !state.m_members.empty()) {
        auto& ledger = std::max_element(state.m_members.begin(), state.m_members.end(), needsLess)->second;
        const auto charged = permitsCharged(ledger);
        if (charged >= ledger.m_target)
            return;
        ++ledger.m_granted;
        ledger.m_grantDue = true;
        --free;
    }
}

// Recalls permits beyond the targets while a member is below its target or the capacity is exceeded.
auto recallExcess(HolderResource& state, bool exceeded) -> void
{
    const auto isAnyShort = std::any_of(state.m_members.begin(), state.m_members.end(),
        [](const auto& member) { return permitsCharged(member.second) < member.second.m_target; });
    for (auto& [instance, ledger] : state.m_members) {
        const auto excess = saturatingSubtract(permitsCharged(ledger), ledger.m_target);
        const auto recall = isAnyShort || exceeded ? excess : 0;
        ledger.m_grantDue = ledger.m_grantDue || recall != ledger.m_recall;
        ledger.m_recall = recall;
    }
}

auto distribute(const EscrowHolder& holder, const HolderDuty& duty, std::string_view resource, HolderResource& state,
    Instant now) -> void
{
    const auto isRebalanceDue = state.m_contended && now - state.m_balancedAt >= holder.m_timing.m_rebalanceInterval;
    if (!state.m_dirty && !isRebalanceDue)
        return;
    const auto capacity = saturatingSubtract(
        capacityOf(holder.m_capacities, resource), unavailablePermits(holder, duty, resource, state, now));
    if (!state.m_hasExternalTargets)
        computeTargets(state, capacity, now);
    state.m_balancedAt = now;
    state.m_dirty = false;
    const auto charged = chargedToMembers(state);
    grantFree(state, saturatingSubtract(capacity, charged));
    recallExcess(state, charged > capacity);
}

auto isGrantDue(const HolderLedger& ledger, const EscrowTiming& timing, Instant now) -> bool
{
    if (ledger.m_grantDue)
        return true;
    const auto unanswered = ledger.m_granted > ledger.m_grantedSeen || ledger.m_recall > 0;
    return unanswered && now - ledger.m_sentAt >= timing.m_resendInterval;
}

auto addGrant(const wire::Fence& fence, std::string_view resource, HolderLedger& ledger, Instant now,
    wire::EscrowGrants& grants) -> void
{
    ledger.m_grantDue = false;
    ledger.m_sentAt = now;
    auto* grant = grants.add_grants();
    *grant->mutable_fence() = fence;
    grant->set_resource(std::string(resource));
    grant->set_granted(ledger.m_granted);
    grant->set_target(ledger.m_target);
    grant->set_recall(ledger.m_recall);
    grant->set_sequence(++ledger.m_grantSequence);
    grant->set_acknowledged(ledger.m_demandSequence);
    for (const auto& share : ledger.m_shares) {
        auto* line = grant->add_shares();
        line->set_team(share.m_team);
        line->set_milli_permits(share.m_milliPermits);
    }
}

auto sendGrants(const EscrowHolder& holder, std::string_view name, HolderDuty& duty, Instant now,
    std::vector<EscrowMessage>& messages) -> void
{
    wire::Fence fence;
    fence.set_duty(std::string(name));
    fence.set_epoch(duty.m_epoch);
    std::map<std::string_view, wire::Envelope> envelopes;
    for (auto& [resource, state] : duty.m_resources) {
        for (auto& [instance, ledger] : state.m_members) {
            if (isGrantDue(ledger, holder.m_timing, now))
                addGrant(fence, resource, ledger, now, *envelopes[instance].mutable_escrow_grants());
        }
    }
    for (auto& [instance, envelope] : envelopes)
        messages.push_back({ std::string(instance), std::move(envelope) });
}

auto dropExpiredCharges(HolderResource& state, Instant now) -> void
{
    const auto expired
        = std::erase_if(state.m_removed, [&](const auto& removed) { return removed.m_expiresAt <= now; });
    state.m_dirty = state.m_dirty || expired > 0;
}

// Moves a removed member's permits from its ledgers to charges that expire with its grace period.
auto chargeRemoved(HolderDuty& duty, std::string_view instance, bool planned, Instant graceEnd) -> void
{
    for (auto& [resource, state] : duty.m_resources) {
        const auto found = state.m_members.find(instance);
        if (found == state.m_members.end())
            continue;
        const auto permits = permitsCharged(found->second);
        if (!planned && permits > 0)
            state.m_removed.push_back({ permits, graceEnd });
        state.m_members.erase(found);
        state.m_dirty = true;
    }
}

auto copyTeams(const wire::EscrowDemand& demand) -> std::vector<TeamDemand>
{
    std::vector<TeamDemand> teams;
    for (const auto& line : demand.teams())
        teams.push_back({ line.team(), line.wanted() });
    return teams;
}

} // namespace

auto setCapacity(EscrowHolder& holder, std::string_view resource, std::uint32_t capacity, Instant now) -> void
{
    setCapacity(holder.m_capacities, resource, capacity, now, capacityWindow(holder.m_timing));
    const auto found = holder.m_duties.find(escrowDuty(resource));
    if (found != holder.m_duties.end())
        stateOf(holder, found->second, resource).m_dirty = true;
}

auto setLoggedPermits(EscrowHolder& holder, std::string_view resource, std::uint32_t permits) -> void
{
    holder.m_loggedPermits[std::string(resource)] = permits;
    const auto found = holder.m_duties.find(escrowDuty(resource));
    if (found != holder.m_duties.end())
        stateOf(holder, found->second, resource).m_dirty = true;
}

auto memberJoined(EscrowHolder& holder, std::string_view instance, Offset joinedAt) -> void
{
    holder.m_members[std::string(instance)] = joinedAt;
}

auto memberRemoved(EscrowHolder& holder, std::string_view instance, bool planned, Instant now) -> void
{
    const auto graceEnd = now + holder.m_timing.m_removalGrace;
    if (!planned)
        holder.m_removalGraceEnd = std::max(holder.m_removalGraceEnd, graceEnd);
    const auto found = holder.m_members.find(instance);
    if (found == holder.m_members.end())
        return;
    const auto joinedAt = found->second;
    holder.m_members.erase(found);
    for (auto& [name, duty] : holder.m_duties) {
        const auto reported = duty.m_reported.find(instance);
        if (reported != duty.m_reported.end()) {
            duty.m_reported.erase(reported);
            chargeRemoved(duty, instance, planned, graceEnd);
        } else if (!planned && joinedAt < duty.m_epoch) {
            duty.m_unreportedUntil = graceEnd;
        }
    }
}

auto takeDuty(EscrowHolder& holder, std::string_view duty, Offset epoch) -> void
{
    auto& held = holder.m_duties[std::string(duty)];
    if (held.m_epoch >= epoch)
        return;
    held = HolderDuty {};
    held.m_epoch = epoch;
    held.m_unreportedUntil = holder.m_removalGraceEnd;
}

auto dropDuty(EscrowHolder& holder, std::string_view duty) -> void
{
    const auto found = holder.m_duties.find(duty);
    if (found != holder.m_duties.end())
        holder.m_duties.erase(found);
}

auto receiveReport(EscrowHolder& holder, std::string_view sender, const wire::EscrowReport& report) -> void
{
    auto* duty = heldDuty(holder, report.fence());
    if (duty == nullptr || !holder.m_members.contains(sender))
        return;
    if (!duty->m_reported.insert(std::string(sender)).second)
        return;
    for (const auto& holding : report.holdings()) {
        auto& state = stateOf(holder, *duty, holding.resource());
        state.m_peak = std::max(state.m_peak, holding.peak_capacity());
        if (holding.held() > 0)
            state.m_members[std::string(sender)].m_base = holding.held();
        state.m_dirty = true;
    }
}

auto receiveDemand(EscrowHolder& holder, std::string_view sender, const wire::EscrowDemand& demand) -> void
{
    auto* duty = heldDuty(holder, demand.fence());
    if (duty == nullptr || !duty->m_reported.contains(sender))
        return;
    auto& state = stateOf(holder, *duty, demand.resource());
    auto& ledger = state.m_members[std::string(sender)];
    state.m_dirty = true;
    ledger.m_grantedSeen = std::max(ledger.m_grantedSeen, std::min(demand.granted_seen(), ledger.m_granted));
    const auto countsReturns = demand.folded_end() <= holder.m_foldedEnd;
    if (countsReturns)
        ledger.m_returned = std::max(ledger.m_returned, std::min(demand.returned(), ledger.m_base + ledger.m_granted));
    if (demand.sequence() <= ledger.m_demandSequence)
        return;
    ledger.m_demand = demand.wanted();
    ledger.m_teams = copyTeams(demand);
    ledger.m_grantDue = true;
    if (countsReturns)
        ledger.m_demandSequence = demand.sequence();
}

auto setTargets(EscrowHolder& holder, std::string_view resource,
    const std::map<std::string, std::uint32_t, std::less<>>& targets) -> void
{
    const auto found = holder.m_duties.find(escrowDuty(resource));
    if (found == holder.m_duties.end())
        return;
    auto& duty = found->second;
    auto& state = stateOf(holder, duty, resource);
    for (const auto& [instance, target] : targets) {
        if (target > 0 && duty.m_reported.contains(instance))
            state.m_members[instance];
    }
    for (auto& [instance, ledger] : state.m_members) {
        const auto target = targets.find(instance);
        const auto permits = target == targets.end() ? 0 : target->second;
        state.m_dirty = state.m_dirty || permits != ledger.m_target;
        ledger.m_target = permits;
    }
    state.m_hasExternalTargets = true;
}

auto setShares(EscrowHolder& holder, std::string_view resource,
    const std::map<std::string, std::vector<TeamShare>, std::less<>>& shares) -> void
{
    const auto found = holder.m_duties.find(escrowDuty(resource));
    if (found == holder.m_duties.end())
        return;
    auto& state = stateOf(holder, found->second, resource);
    state.m_hasExternalTargets = true;
    for (auto& [instance, ledger] : state.m_members) {
        const auto given = shares.find(instance);
        const auto memberShares = given == shares.end() ? std::vector<TeamShare> {} : given->second;
        ledger.m_grantDue = ledger.m_grantDue || memberShares != ledger.m_shares;
        ledger.m_shares = memberShares;
    }
}

auto ledgersOf(const EscrowHolder& holder, std::string_view resource)
    -> const std::map<std::string, HolderLedger, std::less<>>*
{
    const auto duty = holder.m_duties.find(escrowDuty(resource));
    if (duty == holder.m_duties.end() || !duty->second.m_active)
        return nullptr;
    const auto state = duty->second.m_resources.find(resource);
    return state == duty->second.m_resources.end() ? nullptr : &state->second.m_members;
}

auto forgetResource(EscrowHolder& holder, std::string_view resource) -> bool
{
    if (capacityOf(holder.m_capacities, resource) > 0)
        return false;
    if (const auto duty = holder.m_duties.find(escrowDuty(resource)); duty != holder.m_duties.end()) {
        auto& resources = duty->second.m_resources;
        const auto state = resources.find(resource);
        if (state != resources.end() && (chargedToMembers(state->second) > 0 || !state->second.m_removed.empty()))
            return false;
        if (state != resources.end())
            resources.erase(state);
    }
    if (const auto known = holder.m_capacities.m_resources.find(resource);
        known != holder.m_capacities.m_resources.end())
        holder.m_capacities.m_resources.erase(known);
    if (const auto recorded = holder.m_loggedPermits.find(resource); recorded != holder.m_loggedPermits.end())
        holder.m_loggedPermits.erase(recorded);
    return true;
}

auto isDutyActive(const EscrowHolder& holder, std::string_view duty) -> bool
{
    const auto found = holder.m_duties.find(duty);
    return found != holder.m_duties.end() && found->second.m_active;
}

auto grantablePermits(const EscrowHolder& holder, std::string_view resource, Instant now) -> std::uint32_t
{
    const auto duty = holder.m_duties.find(escrowDuty(resource));
    if (duty == holder.m_duties.end() || !duty->second.m_active)
        return 0;
    const auto state = duty->second.m_resources.find(resource);
    if (state == duty->second.m_resources.end())
        return 0;
    const auto capacity = capacityOf(holder.m_capacities, resource);
    const auto unavailable = unavailablePermits(holder, duty->second, resource, state->second, now);
    return saturatingSubtract(saturatingSubtract(capacity, unavailable), chargedToMembers(state->second));
}

auto dueMessages(EscrowHolder& holder, Instant now) -> std::vector<EscrowMessage>
{
    std::vector<EscrowMessage> messages;
    for (auto& [name, duty] : holder.m_duties) {
        requestReports(holder, name, duty, now, messages);
        activateDuty(holder, name, duty);
        if (!duty.m_active)
            continue;
        for (auto& [resource, state] : duty.m_resources) {
            dropExpiredCharges(state, now);
            distribute(holder, duty, resource, state, now);
        }
        sendGrants(holder, name, duty, now, messages);
    }
    return messages;
}

} // namespace hemlockvane
