#include "hemlockvane/claims/ClaimDispatcher.h"

#include "hemlockvane/claims/ClaimContext.h"
#include "hemlockvane/claims/ClaimRecords.h"
#include "hemlockvane/claims/ClaimState.h"
#include "hemlockvane/claims/ClaimView.h"
#include "hemlockvane/claims/RequestKey.h"
#include "hemlockvane/membership/MembershipState.h"

#include <algorithm>
#include <utility>

namespace hemlockvane {

namespace {

// Duty record of a slot, null if its holder is not a member.
auto currentDuty(const ClaimContext& context, std::size_t slot) -> const DutyRecord*
{
    const auto& membership = context.m_view.m_membership;
    const auto found = membership.m_duties.find(claimDuty(slot));
    if (found == membership.m_duties.end() || !isMember(membership, found->second.m_holder))
        return nullptr;
    return &found->second;
}

auto reply(ClaimContext& context, ClaimReply answer) -> void { context.m_actions.emplace_back(std::move(answer)); }

auto sendClaimRequest(ClaimContext& context, ClaimTicket& ticket) -> void
{
    ticket.m_retryAt = context.m_time.m_now + context.m_state.m_settings.m_retryInterval;
    const auto* duty = currentDuty(context, ticket.m_slot);
    if (duty == nullptr)
        return;
    auto& request = *addClaimMessage(context, duty->m_holder).mutable_claim_request();
    request.set_ticket(ticket.m_ticket);
    fillFence(*request.mutable_fence(), ticket.m_slot, duty->m_epoch);
    request.set_team(ticket.m_key.m_team);
    request.set_key(ticket.m_key.m_key);
    request.set_body_hash(ticket.m_bodyHash);
    request.set_deadline_ms((ticket.m_deadline - context.m_time.m_now).count());
}

auto verdictOf(ClaimResult result) -> wire::ClaimVerdict
{
    switch (result) {
    case ClaimResult::Answered:
        return wire::CLAIM_DONE;
    case ClaimResult::NotRun:
        return wire::CLAIM_REFUSED;
    case ClaimResult::InDoubt:
        break;
    }
    return wire::CLAIM_UNKNOWN;
}

auto sendOutcome(ClaimContext& context, std::uint64_t ticket, UnconfirmedOutcome& unconfirmed) -> void
{
    unconfirmed.m_retryAt = context.m_time.m_now + context.m_state.m_settings.m_retryInterval;
    const auto* duty = currentDuty(context, unconfirmed.m_slot);
    if (duty == nullptr)
        return;
    auto& outcome = *addClaimMessage(context, duty->m_holder).mutable_claim_outcome();
    fillFence(*outcome.mutable_fence(), unconfirmed.m_slot, duty->m_epoch);
    outcome.set_team(unconfirmed.m_key.m_team);
    outcome.set_key(unconfirmed.m_key.m_key);
    outcome.set_verdict(verdictOf(unconfirmed.m_result));
    outcome.set_ticket(ticket);
    const auto* record = findClaim(context.m_state.m_slots[unconfirmed.m_slot], unconfirmed.m_key);
    const auto kept = record != nullptr && record->m_status == ClaimStatus::Done;
    outcome.set_answer_lost(!kept || record->m_answerLost);
    if (kept)
        outcome.set_answer(record->m_answer);
}

auto sendTrackedOutcome(ClaimContext& context, const ClaimTicket& ticket, ClaimResult result) -> void
{
    auto& state = context.m_state;
    UnconfirmedOutcome unconfirmed { ticket.m_key, result, ticket.m_slot, {}, {} };
    unconfirmed.m_forgetAt = context.m_time.m_now + state.m_settings.m_window;
    sendOutcome(context, ticket.m_ticket, unconfirmed);
    // If "not run" never reaches the holder, the holder marks the key as unknown after its deadline. The caller then
    // cannot retry with this key, but the request cannot run twice.
    if (result != ClaimResult::NotRun || state.m_unconfirmedOutcomes.size() < state.m_settings.m_maximumOutcomes)
        state.m_unconfirmedOutcomes.emplace(ticket.m_ticket, std::move(unconfirmed));
}

// Reason not to use a grant that was requested, None if it may be used.
auto grantRefusal(const ClaimContext& context, const ClaimTicket& ticket) -> ErrorKind
{
    if (!context.m_view.m_vouched)
        return ErrorKind::NotVouched;
    return ticket.m_deadline <= context.m_time.m_now ? ErrorKind::DeadlinePassed : ErrorKind::None;
}

auto refuseGrant(ClaimContext& context, const ClaimTicket& ticket, ErrorKind refusal) -> void
{
    sendTrackedOutcome(context, ticket, ClaimResult::NotRun);
    reply(context,
        { ticket.m_ticket, refusal, "the request was not dispatched", {}, context.m_view.m_vouched,
            context.m_state.m_settings.m_retryInterval });
}

auto recordGrant(ClaimContext& context, const ClaimTicket& ticket, const ClaimGrant& grant) -> bool
{
    auto& state = context.m_state;
    auto& slot = state.m_slots[ticket.m_slot];
    const auto* present = findClaim(slot, ticket.m_key);
    if (present != nullptr && present->m_grant == grant && slot.m_epoch != 0)
        return true; // This entry is the holder and has the record already.
    ClaimRecord record;
    record.m_status = ClaimStatus::InFlight;
    record.m_grant = grant;
    record.m_bodyHash = ticket.m_bodyHash;
    record.m_dispatcher = state.m_self;
    record.m_ticket = ticket.m_ticket;
    return storeClaim(state, slot, ticket.m_key, std::move(record)) != nullptr;
}

auto useGrant(ClaimContext& context, const ClaimTicket& ticket, const ClaimGrant& grant) -> void
{
    auto refusal = grantRefusal(context, ticket);
    if (refusal == ErrorKind::None && !recordGrant(context, ticket, grant))
        refusal = ErrorKind::QueueFull;
    if (refusal != ErrorKind::None) {
        refuseGrant(context, ticket, refusal);
        return;
    }
    context.m_state.m_running.emplace(ticket.m_ticket, ticket);
    context.m_actions.emplace_back(DispatchClaimed { ticket.m_ticket });
}

// A grant that is older than the recorded one arrived late.
auto isSuperseded(ClaimSlot& slot, const ClaimKey& key, const ClaimGrant& grant) -> bool
{
    const auto* present = findClaim(slot, key);
    return present != nullptr && grant < present->m_grant;
}

auto forwardAnswer(ClaimContext& context, const wire::ClaimAnswer& answer) -> void
{
    ClaimReply out;
    out.m_ticket = answer.ticket();
    out.m_error = static_cast<ErrorKind>(answer.error());
    out.m_reason = answer.reason();
    out.m_answer = answer.answer();
    out.m_notRun = answer.not_run() && context.m_view.m_vouched;
    out.m_retryAfter = Duration(answer.retry_after_ms());
    reply(context, std::move(out));
}

auto applyOutcome(ClaimContext& context, const ClaimTicket& ticket, ClaimResult result, std::string_view answer) -> void
{
    auto& state = context.m_state;
    auto& slot = state.m_slots[ticket.m_slot];
    auto* record = findClaim(slot, ticket.m_key);
    if (record == nullptr || record->m_dispatcher != state.m_self || record->m_ticket != ticket.m_ticket)
        return;
    if (result == ClaimResult::Answered)
        storeAnswer(state, *record, answer, false);
    else if (result == ClaimResult::InDoubt)
        record->m_status = ClaimStatus::Unknown;
    else if (slot.m_epoch == 0)
        eraseClaim(state, slot, ticket.m_key);
}

} // namespace

auto requestClaim(ClaimContext& context, ClaimTicket ticket) -> void
{
    auto& state = context.m_state;
    if (state.m_tickets.size() >= state.m_settings.m_maximumTickets) {
        reply(context,
            { ticket.m_ticket, ErrorKind::QueueFull, "too many requests wait for their claim", {}, false,
                state.m_settings.m_retryInterval });
        return;
    }
    ticket.m_slot = claimSlot(ticket.m_key, state.m_settings.m_slots);
    const auto stored = state.m_tickets.emplace(ticket.m_ticket, std::move(ticket)).first;
    sendClaimRequest(context, stored->second);
}

auto handleClaimAnswer(ClaimContext& context, const wire::ClaimAnswer& answer) -> void
{
    auto& state = context.m_state;
    const auto found = state.m_tickets.find(answer.ticket());
    if (found == state.m_tickets.end())
        return;
    const auto ticket = found->second;
    auto& slot = state.m_slots[ticket.m_slot];
    const ClaimGrant grant { answer.fence().epoch(), answer.serial() };
    if (answer.fence().duty() != claimDuty(ticket.m_slot) || grant.m_epoch < slot.m_minimumEpoch)
        return;
    const auto granted = answer.verdict() == wire::CLAIM_GRANTED;
    if (granted && isSuperseded(slot, ticket.m_key, grant))
        return;
    state.m_tickets.erase(found);
    if (granted)
        useGrant(context, ticket, grant);
    else
        forwardAnswer(context, answer);
}

auto endDispatch(ClaimContext& context, std::uint64_t ticketNumber, ClaimResult result, std::string_view answer) -> void
{
    const auto found = context.m_state.m_running.find(ticketNumber);
    if (found == context.m_state.m_running.end())
        return;
    const auto ticket = found->second;
    context.m_state.m_running.erase(found);
    applyOutcome(context, ticket, result, answer);
    sendTrackedOutcome(context, ticket, result);
}

auto abandonTicket(ClaimContext& context, std::uint64_t ticketNumber) -> void
{
    const auto found = context.m_state.m_tickets.find(ticketNumber);
    if (found == context.m_state.m_tickets.end())
        return;
    const auto ticket = found->second;
    context.m_state.m_tickets.erase(found);
    sendTrackedOutcome(context, ticket, ClaimResult::NotRun);
}

auto handleOutcomeConfirmation(ClaimContext& context, std::uint64_t ticket) -> void
{
    auto& state = context.m_state;
    const auto found = state.m_unconfirmedOutcomes.find(ticket);
    if (found == state.m_unconfirmedOutcomes.end())
        return;
    const auto unconfirmed = found->second;
    state.m_unconfirmedOutcomes.erase(found);
    auto& slot = state.m_slots[unconfirmed.m_slot];
    const auto* record = findClaim(slot, unconfirmed.m_key);
    if (unconfirmed.m_result != ClaimResult::NotRun || record == nullptr)
        return;
    if (record->m_dispatcher == state.m_self && record->m_ticket == ticket)
        eraseClaim(state, slot, unconfirmed.m_key);
}

auto tickDispatcher(ClaimContext& context) -> void
{
    const auto now = context.m_time.m_now;
    std::vector<std::uint64_t> overdue;
    for (auto& [number, ticket] : context.m_state.m_tickets) {
        if (ticket.m_deadline <= now)
            overdue.push_back(number);
        else if (ticket.m_retryAt <= now)
            sendClaimRequest(context, ticket);
    }
    for (const auto number : overdue) {
        abandonTicket(context, number);
        reply(context, { number, ErrorKind::DeadlinePassed, "the key's holder did not answer", {}, false, {} });
    }
    std::erase_if(
        context.m_state.m_unconfirmedOutcomes, [now](const auto& item) { return item.second.m_forgetAt <= now; });
    for (auto& [number, unconfirmed] : context.m_state.m_unconfirmedOutcomes) {
        if (unconfirmed.m_retryAt <= now)
            sendOutcome(context, number, unconfirmed);
    }
}

} // namespace hemlockvane
