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

/// @brief An operator withdraws a key; it is in force here when this returns.
/// @param operation carries a WithdrawKey and its operation id
/// @param self instance id of this entry
/// @param reason receives NotFound or QueueFull
/// @result false when refused
auto withdrawNow(PendingWithdrawals& flood, const KeyState& keys, const wire::Operation& operation,
    std::string_view self, FailureReason& reason) -> bool;

/// @brief Takes the withdrawals that a peer's beat carries. Never takes one back.
/// @param self instance id of this entry
/// @param sender the peer, which has them in force
/// @result true when one was new, so that it is passed on at once
/// @complexity logarithmic in the keys for each operation
auto mergeWithdrawals(PendingWithdrawals& flood, const KeyState& keys,
    std::span<const wire::Operation* const> operations, std::string_view self, std::string_view sender) -> bool;

/// @brief What the next beat carries: everything not recorded yet.
auto pendingOperations(const PendingWithdrawals& flood) -> std::vector<wire::Operation>;

/// @brief What to append now that the log can be reached. Every entry may append the same; the fold takes one.
/// @param retryAfter how long an append is waited for
auto appendsDue(PendingWithdrawals& flood, Instant now, Duration retryAfter) -> std::vector<wire::Operation>;

/// @brief The fold accepted a withdrawal.
auto markRecorded(PendingWithdrawals& flood, std::string_view keyId, Offset offset) -> void;

/// @brief Forgets recorded withdrawals that every member has folded.
/// @param foldedEnds by member, from their beats; this entry's own included
auto clearFolded(PendingWithdrawals& flood, const MembershipState& membership,
    const std::map<std::string, Offset, std::less<>>& foldedEnds) -> void;

/// @brief How far a withdrawal has come.
/// @result everywhere in force when the flood no longer has it
auto withdrawalProgress(const PendingWithdrawals& flood, const MembershipState& membership,
    const std::map<std::string, Offset, std::less<>>& foldedEnds, std::string_view keyId) -> WithdrawalProgress;

} // namespace hemlockvane
