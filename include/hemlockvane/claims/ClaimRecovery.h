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

/// @brief Applies changes of members and duties: steps down as holder, starts a takeover, handles removed members.
auto applyMembershipChanges(ClaimContext& context) -> void;

/// @brief Reports this entry's records to a new holder, and from then on refuses messages of older epochs.
auto answerReportRequest(ClaimContext& context, std::string_view sender, const wire::ClaimReportRequest& request)
    -> void;

/// @brief Handles a member's report to this entry as the new holder.
auto handleClaimReport(ClaimContext& context, std::string_view sender, const wire::ClaimReport& report) -> void;

/// @brief Handles a holder's announcement of the log offset through which its records are replicated.
auto handleClaimCovered(ClaimContext& context, const wire::ClaimCovered& covered) -> void;

/// @brief Resends report requests, finishes the takeover once all members are accounted for, and announces the offset
/// through which records are replicated.
auto tickRecovery(ClaimContext& context, std::size_t slot) -> void;

/// @brief True when some member is certain to have a record of every grant.
///
/// All entries removed after the offset must have been in one zone, and a member of another zone must have joined
/// before it, so that every later grant could be mirrored there. If only one entry was removed, a member of any zone
/// is enough.
/// @param coveredThrough log offset through which all records were replicated
/// @complexity linear in the entries
auto areAllGrantsKnown(const MembershipState& membership, Offset coveredThrough) -> bool;

/// @brief Time until all removed members have certainly stopped.
/// @result milliseconds, 0 if there is none to wait for
auto remainingGraceMillis(const ClaimContext& context) -> std::int64_t;

} // namespace hemlockvane
