#pragma once

#include "hemlockvane/claims/ClaimResult.h"
#include "hemlockvane/claims/ClaimTicket.h"

#include <string_view>

namespace hemlockvane::wire {
class ClaimAnswer;
} // namespace hemlockvane::wire

namespace hemlockvane {

struct ClaimContext;

/// @brief Takes in a request and asks its key's holder.
auto requestClaim(ClaimContext& context, ClaimTicket wanted) -> void;

/// @brief The holder answered. A grant is acted on only while its ticket waits, its epoch is not refused, and this
/// entry may act on what it knows.
auto handleClaimAnswer(ClaimContext& context, const wire::ClaimAnswer& answer) -> void;

/// @brief A dispatched request ended.
auto endDispatch(ClaimContext& context, std::uint64_t ticket, ClaimResult result, std::string_view answer) -> void;

/// @brief Gives up a waiting request: a grant that still comes is not used, and the holder is told.
auto abandonTicket(ClaimContext& context, std::uint64_t ticket) -> void;

/// @brief The holder has taken an outcome.
auto handleOutcomeConfirmation(ClaimContext& context, std::uint64_t ticket) -> void;

/// @brief Repeats unanswered requests and outcomes and ends requests whose deadline has passed.
auto tickDispatcher(ClaimContext& context) -> void;

} // namespace hemlockvane
