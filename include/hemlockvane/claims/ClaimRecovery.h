#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <cstddef>
#include <string_view>

namespace hemlockvane::wire {
class ClaimCovered;
class ClaimReport;
class ClaimReportRequest;
} // namespace hemlockvane::wire

namespace hemlockvane {

struct ClaimContext;
struct MembershipState;

/// @brief Follows members and duties: steps down, starts to take over, accounts for removed members.
auto applyMembershipChanges(ClaimContext& context) -> void;

/// @brief Promises to refuse older epochs and reports what this entry knows.
auto answerReportRequest(ClaimContext& context, std::string_view sender, const wire::ClaimReportRequest& request)
    -> void;

/// @brief A member reported to this new holder.
auto handleClaimReport(ClaimContext& context, std::string_view sender, const wire::ClaimReport& report) -> void;

/// @brief A holder told through which removal its records are copied.
auto handleClaimCovered(ClaimContext& context, const wire::ClaimCovered& covered) -> void;

/// @brief Repeats report requests, finishes the takeover when everybody is heard, announces what is copied.
auto tickRecovery(ClaimContext& context, std::size_t slot) -> void;

/// @brief True when every grant is known to some member, given that all were copied through an offset.
///
/// All entries removed since must be in one zone, and a member that has been there all the time in another zone, so
/// that each grant since then could be copied there; or one entry is missing and any other has been there.
/// @complexity linear in the entries
auto areAllGrantsKnown(const MembershipState& membership, Offset coveredThrough) -> bool;

/// @brief Milliseconds until a removed member has surely stopped, 0 when none is waited for.
auto remainingGraceMillis(const ClaimContext& context) -> std::int64_t;

} // namespace hemlockvane
