#pragma once

#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/log/FoldContext.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane::wire {
class Operation;
} // namespace hemlockvane::wire

namespace hemlockvane {

struct KeyState;
struct MembershipState;
struct PendingWithdrawals;
struct WithdrawalProgress;

/// @brief Applies an operator's withdrawal of a key. It is in force at this entry when this function returns.
/// @param operation carries a WithdrawKey and its operation id
/// @param self instance id of this entry
/// @param reason receives NotFound or QueueFull
/// @result false if refused
auto withdrawNow(PendingWithdrawals& pending, const KeyState& keys, const wire::Operation& operation,
    std::string_view self, FailureReason& reason) -> bool;

/// @brief Merges the withdrawals from a peer's heartbeat into this entry's. A withdrawal is never reverted.
/// @param self instance id of this entry
/// @param sender the peer, at which they are in force
/// @result true if one of them was new and must be forwarded at once
/// @complexity logarithmic in the keys for each operation
auto mergeWithdrawals(PendingWithdrawals& pending, const KeyState& keys,
    std::span<const wire::Operation* const> operations, std::string_view self, std::string_view sender) -> bool;

/// @brief Withdrawals to send with the next heartbeat: all that are not recorded in the log yet.
auto pendingOperations(const PendingWithdrawals& pending) -> std::vector<wire::Operation>;

/// @brief Withdrawals to append to the log now. Several entries may append the same one; the fold accepts only the
/// first.
/// @param retryAfter time after which an append without effect is repeated
auto appendsDue(PendingWithdrawals& pending, Instant now, Duration retryAfter) -> std::vector<wire::Operation>;

/// @brief Marks a withdrawal as recorded after the fold accepted it.
/// @param offset of its record or of a later one that is folded, not plus one
auto markRecorded(PendingWithdrawals& pending, std::string_view keyId, Offset offset) -> void;

/// @brief Erases recorded withdrawals that every member has folded.
/// @param foldedEnds next offset to fold by member, from their heartbeats; includes this entry
auto clearFolded(PendingWithdrawals& pending, const MembershipState& membership,
    const std::map<std::string, Offset, std::less<>>& foldedEnds) -> void;

/// @brief Members at which a withdrawal is in force, and those at which it is not confirmed yet.
/// @result in force at all members if the withdrawal is not pending any more
auto withdrawalProgress(const PendingWithdrawals& pending, const MembershipState& membership,
    const std::map<std::string, Offset, std::less<>>& foldedEnds, std::string_view keyId) -> WithdrawalProgress;

} // namespace hemlockvane
