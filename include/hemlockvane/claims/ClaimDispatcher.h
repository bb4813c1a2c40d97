#pragma once

#include "hemlockvane/claims/ClaimResult.h"
#include "hemlockvane/claims/ClaimTicket.h"

#include <string_view>

namespace hemlockvane::wire {
class ClaimAnswer;
} // namespace hemlockvane::wire

namespace hemlockvane {

struct ClaimContext;

/// @brief Accepts a request and asks the holder of its key for a grant.
auto requestClaim(ClaimContext& context, ClaimTicket ticket) -> void;

/// @brief Handles the holder's answer. A grant is used only while its ticket is waiting, its epoch is accepted and this
/// entry's folded state is vouched for.
auto handleClaimAnswer(ClaimContext& context, const wire::ClaimAnswer& answer) -> void;

/// @brief Records the result of a dispatched request and reports it to the holder.
auto endDispatch(ClaimContext& context, std::uint64_t ticket, ClaimResult result, std::string_view answer) -> void;

/// @brief Abandons a waiting request: a grant that arrives later is not used, and the outcome "not run" is sent to the
/// holder.
auto abandonTicket(ClaimContext& context, std::uint64_t ticket) -> void;

/// @brief Handles the holder's confirmation of an outcome.
auto handleOutcomeConfirmation(ClaimContext& context, std::uint64_t ticket) -> void;

/// @brief Resends unanswered requests and unconfirmed outcomes, and abandons requests whose deadline has passed.
auto tickDispatcher(ClaimContext& context) -> void;

} // namespace hemlockvane
