#include "hemlockvane/claims/ClaimHolder.h"

#include "hemlockvane/claims/ClaimContext.h"
#include "hemlockvane/claims/ClaimRecords.h"
#include "hemlockvane/claims/ClaimRecovery.h"
#include "hemlockvane/claims/ClaimState.h"
#include "hemlockvane/claims/ClaimView.h"
#include "hemlockvane/claims/RequestKey.h"
#include "hemlockvane/membership/MembershipState.h"

#include <algorithm>
#include <utility>

namespace hemlockvane {

namespace {

auto zoneOf(const ClaimContext& context, std::string_view instance) -> std::string_view
{
    const auto& entries = context.m_view.m_membership.m_entries;
    const auto found = entries.find(instance);
    return found == entries.end() ? std::string_view {} : std::string_view { found->second.m_zone };
}

auto answerTo(ClaimContext& context, std::size_t slot, std::string_view instance, std::uint64_t ticket,
    wire::ClaimVerdict verdict) -> wire::ClaimAnswer&
{
    auto& answer = *addClaimMessage(context, instance).mutable_claim_answer();
    answer.set_ticket(ticket);
    fillFence(*answer.mutable_fence(), slot, context.m_state.m_slots[slot].m_epoch);
    answer.set_verdict(verdict);
    return answer;
}

auto fillError(wire::ClaimAnswer& answer, ErrorKind error, std::string_view reason) -> void
{
    answer.set_error(static_cast<std::uint32_t>(error));
    answer.set_reason(std::string(reason));
}

auto answerUnknown(ClaimContext& context, std::size_t slot, std::string_view instance, std::uint64_t ticket,
    std::string_view reason) -> void
{
    auto& answer = answerTo(context, slot, instance, ticket, wire::CLAIM_UNKNOWN);
    fillError(answer, ErrorKind::OutcomeUnknown, reason);
}

auto answerRefused(ClaimContext& context, std::size_t slot, std::string_view instance, std::uint64_t ticket,
    ErrorKind error, std::string_view reason, bool notRun) -> void
{
    auto& answer = answerTo(context, slot, instance, ticket, wire::CLAIM_REFUSED);
    fillError(answer, error, reason);
    answer.set_not_run(notRun);
}

auto answerGranted(ClaimContext& context, std::size_t slot, const ClaimRecord& record) -> void
{
    auto& answer = answerTo(context, slot, record.m_dispatcher, record.m_ticket, wire::CLAIM_GRANTED);
    answer.set_serial(record.m_grant.m_serial);
}

auto answerInFlight(ClaimContext& context, std::size_t slot, const ClaimWaiter& waiter) -> void
{
    auto& answer = answerTo(context, slot, waiter.m_instance, waiter.m_ticket, wire::CLAIM_IN_FLIGHT);
    fillError(answer, ErrorKind::OutcomeUnknown, "the request is still running; ask again with the same key");
    answer.set_retry_after_ms(context.m_state.m_settings.m_retryInterval.count());
}

// Answers from a record with a final status.
auto answerFromRecord(ClaimContext& context, std::size_t slot, const ClaimRecord& record, std::string_view instance,
    std::uint64_t ticket) -> void
{
    if (record.m_status == ClaimStatus::Unknown) {
        answerUnknown(context, slot, instance, ticket, "the request was dispatched and its outcome was lost");
        return;
    }
    auto& answer = answerTo(context, slot, instance, ticket, wire::CLAIM_DONE);
    answer.set_answer(record.m_answer);
    if (record.m_answerLost)
        fillError(answer, ErrorKind::AnswerLost, "the request ran; its answer was too large to keep");
}

auto answerWaiters(ClaimContext& context, std::size_t slot, ClaimRecord& record) -> void
{
    for (const auto& waiter : std::exchange(record.m_waiters, {}))
        answerFromRecord(context, slot, record, waiter.m_instance, waiter.m_ticket);
}

auto addWaiter(ClaimContext& context, std::size_t slot, const ClaimKey& key, ClaimRecord& record, ClaimWaiter waiter)
    -> void
{
    const auto known = std::any_of(record.m_waiters.begin(), record.m_waiters.end(),
        [&](const auto& other) { return other.m_instance == waiter.m_instance && other.m_ticket == waiter.m_ticket; });
    if (known)
        return;
    if (record.m_waiters.size() >= context.m_state.m_settings.m_maximumWaiters) {
        answerInFlight(context, slot, waiter);
        return;
    }
    context.m_state.m_slots[slot].m_deadlines.emplace(waiter.m_deadline, key);
    record.m_waiters.push_back(std::move(waiter));
}

auto handleRepeatedRequest(ClaimContext& context, std::size_t slot, const ClaimKey& key, ClaimRecord& record,
    ClaimWaiter requester, std::uint64_t bodyHash) -> void
{
    if (record.m_bodyHash != bodyHash) {
        answerRefused(context, slot, requester.m_instance, requester.m_ticket, ErrorKind::Conflict,
            "the key was used for another request", true);
        return;
    }
    if (record.m_status == ClaimStatus::Done || record.m_status == ClaimStatus::Unknown) {
        answerFromRecord(context, slot, record, requester.m_instance, requester.m_ticket);
        return;
    }
    if (record.m_dispatcher != requester.m_instance || record.m_ticket != requester.m_ticket)
        addWaiter(context, slot, key, record, std::move(requester));
    else if (record.m_status == ClaimStatus::InFlight)
        answerGranted(context, slot, record);
}

// Refuses a key without a record if granting it is not safe; false if it may be granted. The checks that cannot rule
// out an earlier run come first, so that a request that may have run is never reported as not run.
auto refuseIfUnsafe(ClaimContext& context, std::size_t slotIndex, WallMillis stamp, const ClaimWaiter& requester)
    -> bool
{
    const auto& state = context.m_state;
    const auto& settings = state.m_settings;
    const auto& instance = requester.m_instance;
    const auto refuse = [&](ErrorKind error, std::string_view reason, bool notRun) {
        answerRefused(context, slotIndex, instance, requester.m_ticket, error, reason, notRun);
        return true;
    };
    if (!context.m_view.m_vouched)
        return refuse(ErrorKind::NotVouched, "the key's holder cannot vouch for its state", false);
    if (stamp <= state.m_slots[slotIndex].m_horizon || stamp < state.m_wall - settings.m_window.count()) {
        answerUnknown(
            context, slotIndex, instance, requester.m_ticket, "it is not known whether the key was used before");
        return true;
    }
    if (stamp > state.m_wall + settings.m_callerSkew.count())
        return refuse(ErrorKind::BadRequest, "the key's time lies in the future", true);
    if (state.m_recordCount >= settings.m_maximumRecords)
        return refuse(ErrorKind::QueueFull, "the key's holder has no room for another key", true);
    if (requester.m_deadline <= context.m_time.m_now)
        return refuse(ErrorKind::DeadlinePassed, "the deadline has passed", true);
    return false;
}

auto confirmGrant(ClaimContext& context, std::size_t slotIndex, const ClaimKey& key, ClaimRecord& record) -> void
{
    auto& slot = context.m_state.m_slots[slotIndex];
    slot.m_granting.erase(key);
    record.m_status = ClaimStatus::InFlight;
    slot.m_deadlines.emplace(record.m_deadline + context.m_state.m_settings.m_outcomeGrace, key);
    answerGranted(context, slotIndex, record);
}

auto grant(ClaimContext& context, std::size_t slotIndex, const ClaimKey& key, const ClaimWaiter& requester,
    std::uint64_t bodyHash) -> void
{
    auto& slot = context.m_state.m_slots[slotIndex];
    ClaimRecord newRecord;
    newRecord.m_grant = { slot.m_epoch, slot.m_nextSerial++ };
    newRecord.m_bodyHash = bodyHash;
    newRecord.m_dispatcher = requester.m_instance;
    newRecord.m_ticket = requester.m_ticket;
    newRecord.m_deadline = requester.m_deadline;
    auto& record = *storeClaim(context.m_state, slot, key, std::move(newRecord));
    if (isReplicated(context, record)) {
        confirmGrant(context, slotIndex, key, record);
        return;
    }
    slot.m_granting.insert(key);
    slot.m_deadlines.emplace(record.m_deadline, key);
    requestMirror(context, slotIndex, key, record);
}

auto refuseWhileRecovering(
    ClaimContext& context, std::size_t slot, const wire::ClaimRequest& request, std::string_view sender) -> void
{
    const auto wait = remainingGraceMillis(context);
    if (wait <= request.deadline_ms())
        return;
    auto& answer = answerTo(context, slot, sender, request.ticket(), wire::CLAIM_REFUSED);
    fillError(answer, ErrorKind::NoCapacity, "the key's holder is taking over");
    answer.set_retry_after_ms(wait);
}

// Members, other than this entry and the dispatcher, that may store a mirror copy: those of other zones if there are
// any, else those of this zone.
auto mirrorCandidates(const ClaimContext& context, const ClaimRecord& record) -> std::vector<std::string_view>
{
    const auto zone = zoneOf(context, context.m_state.m_self);
    std::vector<std::string_view> sameZone;
    std::vector<std::string_view> otherZones;
    for (const auto& [instance, entry] : context.m_view.m_membership.m_entries) {
        if (entry.m_removedAt != 0 || instance == context.m_state.m_self || instance == record.m_dispatcher)
            continue;
        (entry.m_zone == zone ? sameZone : otherZones).push_back(instance);
    }
    return otherZones.empty() ? sameZone : otherZones;
}

auto sendMirrorRequest(ClaimContext& context, std::size_t slot, const ClaimKey& key, const ClaimRecord& record) -> void
{
    auto& mirror = *addClaimMessage(context, record.m_mirrorAsked).mutable_claim_mirror();
    mirror.set_ticket(record.m_grant.m_serial);
    fillFence(*mirror.mutable_fence(), slot, context.m_state.m_slots[slot].m_epoch);
    *mirror.mutable_entry() = toClaimEntry(key, record);
}

// Updates an existing mirror copy without waiting for a confirmation.
auto updateMirror(ClaimContext& context, std::size_t slot, const ClaimKey& key, ClaimRecord& record) -> void
{
    if (record.m_mirror.empty() || !isMember(context.m_view.m_membership, record.m_mirror))
        return;
    record.m_mirrorAsked = record.m_mirror;
    sendMirrorRequest(context, slot, key, record);
}

auto confirmOutcome(ClaimContext& context, std::string_view sender, const wire::ClaimOutcome& outcome) -> void
{
    auto& confirmation = *addClaimMessage(context, sender).mutable_claim_outcome();
    *confirmation.mutable_fence() = outcome.fence();
    confirmation.set_ticket(outcome.ticket());
    confirmation.set_is_answer(true);
}

auto applyOutcome(ClaimContext& context, std::size_t slotIndex, const ClaimKey& key, ClaimRecord& record,
    const wire::ClaimOutcome& outcome) -> void
{
    auto& slot = context.m_state.m_slots[slotIndex];
    if (outcome.verdict() == wire::CLAIM_REFUSED) {
        // Waiters are dropped: they send their requests again, and the first of them gets a new grant.
        if (record.m_status != ClaimStatus::Done)
            eraseClaim(context.m_state, slot, key);
        return;
    }
    if (outcome.verdict() == wire::CLAIM_DONE)
        storeAnswer(context.m_state, record, outcome.answer(), outcome.answer_lost());
    else if (record.m_status != ClaimStatus::Done)
        record.m_status = ClaimStatus::Unknown;
    answerWaiters(context, slotIndex, record);
    updateMirror(context, slotIndex, key, record);
}

auto expireWaiters(ClaimContext& context, std::size_t slot, ClaimRecord& record) -> void
{
    const auto now = context.m_time.m_now;
    for (const auto& waiter : record.m_waiters) {
        if (waiter.m_deadline <= now)
            answerInFlight(context, slot, waiter);
    }
    std::erase_if(record.m_waiters, [now](const auto& waiter) { return waiter.m_deadline <= now; });
}

auto resolveOverdue(ClaimContext& context, std::size_t slotIndex, const ClaimKey& key) -> void
{
    auto& slot = context.m_state.m_slots[slotIndex];
    auto* record = findClaim(slot, key);
    if (record == nullptr)
        return;
    const auto now = context.m_time.m_now;
    if (record->m_status == ClaimStatus::Granting && record->m_deadline <= now) {
        answerRefused(context, slotIndex, record->m_dispatcher, record->m_ticket, ErrorKind::DeadlinePassed,
            "no other zone could keep a copy of the claim in time", true);
        eraseClaim(context.m_state, slot, key);
        return;
    }
    expireWaiters(context, slotIndex, *record);
    const auto outcomeDeadline = record->m_deadline + context.m_state.m_settings.m_outcomeGrace;
    if (record->m_status == ClaimStatus::InFlight && outcomeDeadline <= now) {
        record->m_status = ClaimStatus::Unknown;
        answerWaiters(context, slotIndex, *record);
    }
}

auto resendMirrorRequests(ClaimContext& context, std::size_t slotIndex) -> void
{
    auto& slot = context.m_state.m_slots[slotIndex];
    for (const auto& key : slot.m_granting)
        requestMirror(context, slotIndex, key, *findClaim(slot, key));
    std::size_t sent = 0;
    for (const auto& key : slot.m_underReplicated) {
        if (++sent > context.m_state.m_settings.m_mirrorBatch)
            break;
        requestMirror(context, slotIndex, key, *findClaim(slot, key));
    }
}

} // namespace

auto isReplicated(const ClaimContext& context, const ClaimRecord& record) -> bool
{
    const auto& membership = context.m_view.m_membership;
    const auto zone = zoneOf(context, context.m_state.m_self);
    const auto hasOtherZones = std::any_of(membership.m_entries.begin(), membership.m_entries.end(),
        [&](const auto& item) { return item.second.m_removedAt == 0 && item.second.m_zone != zone; });
    const auto storesCopy = [&](std::string_view instance) {
        if (instance == context.m_state.m_self || !isMember(membership, instance))
            return false;
        return !hasOtherZones || zoneOf(context, instance) != zone;
    };
    if (storesCopy(record.m_dispatcher) || storesCopy(record.m_mirror))
        return true;
    return mirrorCandidates(context, record).empty();
}

auto requestMirror(ClaimContext& context, std::size_t slot, const ClaimKey& key, ClaimRecord& record) -> void
{
    const auto candidates = mirrorCandidates(context, record);
    if (candidates.empty())
        return;
    const auto attempt = record.m_grant.m_serial + record.m_mirrorAttempts++;
    record.m_mirrorAsked = candidates[attempt % candidates.size()];
    sendMirrorRequest(context, slot, key, record);
}

auto handleClaimRequest(ClaimContext& context, std::string_view sender, const wire::ClaimRequest& request) -> void
{
    auto& state = context.m_state;
    const ClaimKey key { request.team(), request.key() };
    const auto slotIndex = claimSlot(key, state.m_settings.m_slots);
    auto& slot = state.m_slots[slotIndex];
    if (slot.m_epoch == 0 || request.fence().epoch() != slot.m_epoch)
        return;
    if (!slot.m_active) {
        refuseWhileRecovering(context, slotIndex, request, sender);
        return;
    }
    ClaimWaiter requester { std::string(sender), request.ticket(),
        context.m_time.m_now + Duration(request.deadline_ms()) };
    auto* record = findClaim(slot, key);
    if (record != nullptr) {
        handleRepeatedRequest(context, slotIndex, key, *record, std::move(requester), request.body_hash());
        return;
    }
    FailureReason reason;
    const auto parsed = parseRequestKey(key.m_key, reason);
    if (!parsed)
        answerRefused(context, slotIndex, sender, request.ticket(), reason.m_kind, reason.m_text, true);
    else if (!refuseIfUnsafe(context, slotIndex, parsed->m_stampedAt, requester))
        grant(context, slotIndex, key, requester, request.body_hash());
}

auto handleClaimOutcome(ClaimContext& context, std::string_view sender, const wire::ClaimOutcome& outcome) -> void
{
    auto& state = context.m_state;
    const ClaimKey key { outcome.team(), outcome.key() };
    const auto slotIndex = claimSlot(key, state.m_settings.m_slots);
    auto& slot = state.m_slots[slotIndex];
    if (!slot.m_active)
        return;
    confirmOutcome(context, sender, outcome);
    auto* record = findClaim(slot, key);
    if (record == nullptr)
        return;
    std::erase_if(record->m_waiters,
        [&](const auto& waiter) { return waiter.m_instance == sender && waiter.m_ticket == outcome.ticket(); });
    if (record->m_dispatcher == sender && record->m_ticket == outcome.ticket())
        applyOutcome(context, slotIndex, key, *record, outcome);
}

auto handleMirrorRequest(ClaimContext& context, std::string_view sender, const wire::ClaimMirror& mirror) -> void
{
    auto& state = context.m_state;
    const auto& entry = mirror.entry();
    const ClaimKey key { entry.team(), entry.key() };
    auto& slot = state.m_slots[claimSlot(key, state.m_settings.m_slots)];
    if (mirror.fence().epoch() < slot.m_minimumEpoch)
        return;
    auto copy = fromClaimEntry(entry);
    const auto* present = findClaim(slot, key);
    const auto newer = present == nullptr || present->m_grant < copy.m_grant
        || (present->m_grant == copy.m_grant && present->m_status <= copy.m_status);
    const auto stored = !newer || storeClaim(state, slot, key, std::move(copy)) != nullptr;
    auto& answer = *addClaimMessage(context, sender).mutable_claim_mirror();
    answer = mirror;
    answer.mutable_entry()->clear_answer();
    answer.set_is_answer(true);
    answer.set_refused(!stored);
}

auto handleMirrorConfirmation(ClaimContext& context, std::string_view sender, const wire::ClaimMirror& mirror) -> void
{
    auto& state = context.m_state;
    const ClaimKey key { mirror.entry().team(), mirror.entry().key() };
    const auto slotIndex = claimSlot(key, state.m_settings.m_slots);
    auto& slot = state.m_slots[slotIndex];
    auto* record = findClaim(slot, key);
    if (!slot.m_active || mirror.fence().epoch() != slot.m_epoch || mirror.refused() || record == nullptr)
        return;
    const ClaimGrant grant { mirror.entry().grant_epoch(), mirror.entry().grant_serial() };
    if (record->m_grant != grant)
        return;
    record->m_mirror = sender;
    if (!isReplicated(context, *record))
        return;
    slot.m_underReplicated.erase(key);
    if (record->m_status == ClaimStatus::Granting)
        confirmGrant(context, slotIndex, key, *record);
}

auto resolveLostDispatcher(ClaimContext& context, std::size_t slot, const ClaimKey& key, ClaimRecord& record) -> void
{
    if (record.m_status == ClaimStatus::Granting) {
        eraseClaim(context.m_state, context.m_state.m_slots[slot], key);
        return;
    }
    if (record.m_status == ClaimStatus::InFlight)
        record.m_status = ClaimStatus::Unknown;
    answerWaiters(context, slot, record);
}

auto tickHolder(ClaimContext& context, std::size_t slotIndex) -> void
{
    auto& slot = context.m_state.m_slots[slotIndex];
    if (!slot.m_active)
        return;
    const auto now = context.m_time.m_now;
    while (!slot.m_deadlines.empty() && slot.m_deadlines.begin()->first <= now) {
        const auto key = slot.m_deadlines.begin()->second;
        slot.m_deadlines.erase(slot.m_deadlines.begin());
        resolveOverdue(context, slotIndex, key);
    }
    if (slot.m_retryAt > now)
        return;
    slot.m_retryAt = now + context.m_state.m_settings.m_retryInterval;
    resendMirrorRequests(context, slotIndex);
}

} // namespace hemlockvane
