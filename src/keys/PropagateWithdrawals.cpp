#include "hemlockvane/keys/PropagateWithdrawals.h"

#include "hemlockvane/keys/KeyState.h"
#include "hemlockvane/keys/PendingWithdrawals.h"
#include "hemlockvane/keys/WithdrawalProgress.h"
#include "hemlockvane/membership/MembershipState.h"

#include "hemlockvane/records.pb.h"

#include <algorithm>

namespace hemlockvane {

namespace {

using FoldedEnds = std::map<std::string, Offset, std::less<>>;

auto isRecorded(const KeyState& keys, std::string_view keyId) -> bool
{
    const auto found = keys.m_keys.find(keyId);
    return found != keys.m_keys.end() && found->second.m_withdrawn;
}

auto toPendingWithdrawal(const wire::Operation& operation) -> PendingWithdrawal
{
    PendingWithdrawal withdrawal;
    withdrawal.m_operationId = operation.id();
    withdrawal.m_author = operation.withdraw_key().author();
    withdrawal.m_reason = operation.withdraw_key().reason();
    return withdrawal;
}

auto toOperation(std::string_view keyId, const PendingWithdrawal& withdrawal) -> wire::Operation
{
    wire::Operation operation;
    operation.set_id(withdrawal.m_operationId);
    operation.mutable_withdraw_key()->set_key_id(std::string(keyId));
    operation.mutable_withdraw_key()->set_author(withdrawal.m_author);
    operation.mutable_withdraw_key()->set_reason(withdrawal.m_reason);
    return operation;
}

auto isInForce(const PendingWithdrawal& withdrawal, const std::string& member, const FoldedEnds& foldedEnds) -> bool
{
    if (withdrawal.m_inForceAt.contains(member))
        return true;
    const auto found = foldedEnds.find(member);
    return withdrawal.m_recorded && found != foldedEnds.end() && found->second > withdrawal.m_recordedAt;
}

auto hasFolded(const PendingWithdrawal& withdrawal, const std::string& member, const FoldedEnds& foldedEnds) -> bool
{
    const auto found = foldedEnds.find(member);
    return found != foldedEnds.end() && found->second > withdrawal.m_recordedAt;
}

} // namespace

auto withdrawNow(PendingWithdrawals& pending, const KeyState& keys, const wire::Operation& operation,
    std::string_view self, FailureReason& reason) -> bool
{
    const auto& keyId = operation.withdraw_key().key_id();
    if (!keys.m_keys.contains(keyId)) {
        fail(reason, ErrorKind::NotFound, "there is no key " + keyId);
        return false;
    }
    if (isRecorded(keys, keyId) || pending.m_withdrawals.contains(keyId))
        return true;
    if (pending.m_withdrawals.size() >= maximumPendingWithdrawals) {
        fail(reason, ErrorKind::QueueFull, "too many withdrawals wait for the log");
        return false;
    }
    auto withdrawal = toPendingWithdrawal(operation);
    withdrawal.m_inForceAt.emplace(self);
    pending.m_withdrawals.emplace(keyId, std::move(withdrawal));
    return true;
}

auto mergeWithdrawals(PendingWithdrawals& pending, const KeyState& keys,
    std::span<const wire::Operation* const> operations, std::string_view self, std::string_view sender) -> bool
{
    auto isNew = false;
    for (const auto* operation : operations) {
        if (!operation->has_withdraw_key())
            continue;
        const auto& keyId = operation->withdraw_key().key_id();
        const auto known = pending.m_withdrawals.contains(keyId);
        if (!known && isRecorded(keys, keyId))
            continue;
        auto& withdrawal = pending.m_withdrawals.emplace(keyId, toPendingWithdrawal(*operation)).first->second;
        withdrawal.m_inForceAt.emplace(self);
        withdrawal.m_inForceAt.emplace(sender);
        isNew = isNew || !known;
    }
    return isNew;
}

auto pendingOperations(const PendingWithdrawals& pending) -> std::vector<wire::Operation>
{
    std::vector<wire::Operation> operations;
    for (const auto& [keyId, withdrawal] : pending.m_withdrawals) {
        if (!withdrawal.m_recorded)
            operations.push_back(toOperation(keyId, withdrawal));
    }
    return operations;
}

auto appendsDue(PendingWithdrawals& pending, Instant now, Duration retryAfter) -> std::vector<wire::Operation>
{
    std::vector<wire::Operation> operations;
    for (auto& [keyId, withdrawal] : pending.m_withdrawals) {
        if (withdrawal.m_recorded || withdrawal.m_appendAt > now)
            continue;
        withdrawal.m_appendAt = now + retryAfter;
        operations.push_back(toOperation(keyId, withdrawal));
    }
    return operations;
}

auto markRecorded(PendingWithdrawals& pending, std::string_view keyId, Offset offset) -> void
{
    const auto found = pending.m_withdrawals.find(keyId);
    if (found == pending.m_withdrawals.end() || found->second.m_recorded)
        return;
    found->second.m_recorded = true;
    found->second.m_recordedAt = offset;
}

auto clearFolded(PendingWithdrawals& pending, const MembershipState& membership, const FoldedEnds& foldedEnds) -> void
{
    std::erase_if(pending.m_withdrawals, [&](const auto& item) {
        return item.second.m_recorded
            && std::all_of(membership.m_entries.begin(), membership.m_entries.end(), [&](const auto& member) {
                   return member.second.m_removedAt != 0 || hasFolded(item.second, member.first, foldedEnds);
               });
    });
}

auto withdrawalProgress(const PendingWithdrawals& pending, const MembershipState& membership,
    const FoldedEnds& foldedEnds, std::string_view keyId) -> WithdrawalProgress
{
    WithdrawalProgress progress;
    const auto found = pending.m_withdrawals.find(keyId);
    const auto cleared = found == pending.m_withdrawals.end();
    progress.m_recorded = cleared || found->second.m_recorded;
    for (const auto& [member, entry] : membership.m_entries) {
        if (entry.m_removedAt != 0)
            continue;
        const auto inForce = cleared || isInForce(found->second, member, foldedEnds);
        (inForce ? progress.m_inForce : progress.m_waiting).push_back(member);
    }
    return progress;
}

} // namespace hemlockvane
