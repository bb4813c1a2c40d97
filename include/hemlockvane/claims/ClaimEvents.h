#pragma once

#include "hemlockvane/claims/ClaimAction.h"
#include "hemlockvane/claims/ClaimResult.h"
#include "hemlockvane/claims/ClaimTime.h"

#include <string_view>
#include <vector>

namespace hemlockvane {

struct ClaimState;
struct ClaimTicket;
struct ClaimView;

/// @brief A caller's request with an Idempotency-Key was received.
///
/// Call before any queue, limit or capacity is checked: a replayed answer needs none of them, and a request that they
/// refuse later can then be reported as "not run" with certainty.
/// @param ticket ticket, key (as by parseRequestKey), body hash and deadline; the rest is filled in
/// @result messages, or a reply at once when the request cannot be kept waiting
/// @complexity logarithmic in the records
auto onClaimRequested(ClaimState& state, const ClaimView& view, ClaimTicket ticket, const ClaimTime& time)
    -> std::vector<ClaimAction>;

/// @brief A request that was dispatched by a DispatchClaimed action has ended.
/// @param answer the complete answer if the result is Answered
auto onClaimOutcome(ClaimState& state, const ClaimView& view, std::uint64_t ticket, ClaimResult result,
    std::string_view answer, const ClaimTime& time) -> std::vector<ClaimAction>;

/// @brief The caller disconnected before the request was dispatched. The request is never dispatched afterwards.
auto onClaimCancelled(ClaimState& state, const ClaimView& view, std::uint64_t ticket, const ClaimTime& time)
    -> std::vector<ClaimAction>;

/// @brief A message was received from a peer; messages that do not belong to claims are ignored.
auto onClaimMessage(ClaimState& state, const ClaimView& view, const wire::Envelope& envelope, const ClaimTime& time)
    -> std::vector<ClaimAction>;

/// @brief The fold changed members or duties. Call after every such change and once after the state was bootstrapped;
/// the entry takes no part in claims before that.
/// @complexity linear in slots and members, plus the records of each slot that a removal affects
auto onMembershipFolded(ClaimState& state, const ClaimView& view, const ClaimTime& time) -> std::vector<ClaimAction>;

/// @brief Resends unanswered messages, ends overdue requests and erases expired records.
/// Call every few tens of milliseconds.
auto onClaimTick(ClaimState& state, const ClaimView& view, const ClaimTime& time) -> std::vector<ClaimAction>;

} // namespace hemlockvane
