#include "hemlockvane/claims/ClaimEvents.h"

#include "hemlockvane/claims/ClaimContext.h"
#include "hemlockvane/claims/ClaimDispatcher.h"
#include "hemlockvane/claims/ClaimHolder.h"
#include "hemlockvane/claims/ClaimRecords.h"
#include "hemlockvane/claims/ClaimRecovery.h"
#include "hemlockvane/claims/ClaimState.h"
#include "hemlockvane/claims/ClaimView.h"
#include "hemlockvane/claims/RequestKey.h"

#include <algorithm>
#include <utility>

namespace hemlockvane {

namespace {

auto handleMessage(ClaimContext& context, const wire::Envelope& envelope) -> void
{
    const std::string_view sender = envelope.sender();
    switch (envelope.message_case()) {
    case wire::Envelope::kClaimRequest:
        return handleClaimRequest(context, sender, envelope.claim_request());
    case wire::Envelope::kClaimAnswer:
        return handleClaimAnswer(context, envelope.claim_answer());
    case wire::Envelope::kClaimOutcome:
        if (envelope.claim_outcome().is_answer())
            return handleOutcomeConfirmation(context, envelope.claim_outcome().ticket());
        return handleClaimOutcome(context, sender, envelope.claim_outcome());
    case wire::Envelope::kClaimMirror:
        if (envelope.claim_mirror().is_answer())
            return handleMirrorConfirmation(context, sender, envelope.claim_mirror());
        return handleMirrorRequest(context, sender, envelope.claim_mirror());
    case wire::Envelope::kClaimReportRequest:
        return answerReportRequest(context, sender, envelope.claim_report_request());
    case wire::Envelope::kClaimReport:
        handleClaimReport(context, sender, envelope.claim_report());
        for (std::size_t slot = 0; slot < context.m_state.m_slots.size(); ++slot)
            tickRecovery(context, slot);
        return;
    case wire::Envelope::kClaimCovered:
        return handleClaimCovered(context, envelope.claim_covered());
    default:
        return;
    }
}

// Handles the messages that this entry sent to itself, including those that result from handling them.
auto deliverLocally(ClaimContext& context) -> void
{
    std::vector<ClaimAction> outward;
    for (std::size_t i = 0; i < context.m_actions.size(); ++i) {
        auto action = std::move(context.m_actions[i]);
        const auto* message = std::get_if<SendToPeer>(&action);
        if (message != nullptr && message->m_peer == context.m_state.m_self)
            handleMessage(context, message->m_envelope);
        else
            outward.push_back(std::move(action));
    }
    context.m_actions = std::move(outward);
}

template <typename Handler>
auto handle(ClaimState& state, const ClaimView& view, const ClaimTime& time, const Handler& handler)
    -> std::vector<ClaimAction>
{
    state.m_wall = std::max(state.m_wall, time.m_wall);
    std::vector<ClaimAction> actions;
    ClaimContext context { state, view, time, actions };
    handler(context);
    deliverLocally(context);
    return actions;
}

} // namespace

auto addClaimMessage(ClaimContext& context, std::string_view peer) -> wire::Envelope&
{
    auto& action = context.m_actions.emplace_back(SendToPeer { std::string(peer), {} });
    auto& envelope = std::get<SendToPeer>(action).m_envelope;
    envelope.set_sender(context.m_state.m_self);
    return envelope;
}

auto fillFence(wire::Fence& fence, std::size_t slot, Offset epoch) -> void
{
    fence.set_duty(claimDuty(slot));
    fence.set_epoch(epoch);
}

auto onClaimRequested(ClaimState& state, const ClaimView& view, ClaimTicket ticket, const ClaimTime& time)
    -> std::vector<ClaimAction>
{
    return handle(state, view, time, [&](ClaimContext& context) { requestClaim(context, std::move(ticket)); });
}

auto onClaimOutcome(ClaimState& state, const ClaimView& view, std::uint64_t ticket, ClaimResult result,
    std::string_view answer, const ClaimTime& time) -> std::vector<ClaimAction>
{
    return handle(state, view, time, [&](ClaimContext& context) { endDispatch(context, ticket, result, answer); });
}

auto onClaimCancelled(ClaimState& state, const ClaimView& view, std::uint64_t ticket, const ClaimTime& time)
    -> std::vector<ClaimAction>
{
    return handle(state, view, time, [&](ClaimContext& context) { abandonTicket(context, ticket); });
}

auto onClaimMessage(ClaimState& state, const ClaimView& view, const wire::Envelope& envelope, const ClaimTime& time)
    -> std::vector<ClaimAction>
{
    return handle(state, view, time, [&](ClaimContext& context) { handleMessage(context, envelope); });
}

auto onMembershipFolded(ClaimState& state, const ClaimView& view, const ClaimTime& time) -> std::vector<ClaimAction>
{
    return handle(state, view, time, [&](ClaimContext& context) {
        applyMembershipChanges(context);
        for (std::size_t slot = 0; slot < state.m_slots.size(); ++slot)
            tickRecovery(context, slot);
    });
}

auto onClaimTick(ClaimState& state, const ClaimView& view, const ClaimTime& time) -> std::vector<ClaimAction>
{
    return handle(state, view, time, [&](ClaimContext& context) {
        forgetExpired(state, state.m_slots[state.m_nextExpiry++ % state.m_slots.size()]);
        std::erase_if(state.m_removed, [&](const auto& item) { return item.second <= time.m_now; });
        for (std::size_t slot = 0; slot < state.m_slots.size(); ++slot) {
            tickRecovery(context, slot);
            tickHolder(context, slot);
        }
        tickDispatcher(context);
    });
}

} // namespace hemlockvane
