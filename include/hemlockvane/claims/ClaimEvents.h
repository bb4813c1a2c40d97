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

/// @brief A caller's request with an Idempotency-Key came in. Asked before any queue, limit or capacity is looked at,
/// so that a replay needs none and a later refusal can say "not run" and be right.
/// @param wanted ticket, key (as by parseRequestKey), body hash and deadline; the rest is filled in
/// @result messages, or a reply at once when it cannot even wait
/// @complexity logarithmic in the records
auto onClaimRequested(ClaimState& state, const ClaimView& view, ClaimTicket wanted, const ClaimTime& time)
    -> std::vector<ClaimAction>;

/// @brief The shell ended a request that it was told to dispatch.
/// @param answer whole answer, with Answered
auto onClaimOutcome(ClaimState& state, const ClaimView& view, std::uint64_t ticket, ClaimResult result,
    std::string_view answer, const ClaimTime& time) -> std::vector<ClaimAction>;

/// @brief The caller went away before the request was dispatched. It is then never dispatched.
auto onClaimCancelled(ClaimState& state, const ClaimView& view, std::uint64_t ticket, const ClaimTime& time)
    -> std::vector<ClaimAction>;

/// @brief A claims message came from a peer; other messages are ignored.
auto onClaimMessage(ClaimState& state, const ClaimView& view, const wire::Envelope& envelope, const ClaimTime& time)
    -> std::vector<ClaimAction>;

/// @brief The fold changed members or duties. Called after every such change and once after the state was
/// bootstrapped; until then the entry takes no part.
/// @complexity linear in slots and members, plus the records of a slot whose copies a removal took
auto onMembershipFolded(ClaimState& state, const ClaimView& view, const ClaimTime& time) -> std::vector<ClaimAction>;

/// @brief Time passed: repeats what is unanswered, ends what is overdue, forgets what has expired.
/// Called every few tens of milliseconds.
auto onClaimTick(ClaimState& state, const ClaimView& view, const ClaimTime& time) -> std::vector<ClaimAction>;

} // namespace hemlockvane
