#include "hemlockvane/detail/control/KeysDriver.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/Commit.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/control/MembershipDriver.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/keys/PropagateWithdrawals.h"

#include "hemlockvane/peers.pb.h"

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration checkInterval { 50 };
constexpr Duration progressTimeout { 3000 };
constexpr Duration appendRetryInterval { 2000 };

auto foldedEnds(const ControlCore& core) -> std::map<std::string, Offset, std::less<>>
{
    std::map<std::string, Offset, std::less<>> ends;
    for (const auto& [id, report] : core.m_peerStatus)
        ends[id] = report.m_foldedEnd;
    ends[core.m_instance] = core.m_state.m_nextOffset;
    return ends;
}

auto progressOf(const ControlCore& core, std::string_view keyId) -> WithdrawalProgress
{
    return withdrawalProgress(core.m_pendingWithdrawals, core.m_state.m_membership, foldedEnds(core), keyId);
}

auto markFoldedWithdrawals(ControlCore& core) -> void
{
    for (const auto& [id, withdrawal] : core.m_pendingWithdrawals.m_withdrawals) {
        const auto found = core.m_state.m_keys.m_keys.find(id);
        if (!withdrawal.m_recorded && found != core.m_state.m_keys.m_keys.end() && found->second.m_withdrawn)
            markRecorded(core.m_pendingWithdrawals, id, core.m_state.m_nextOffset - 1);
    }
}

auto mergeFromHeartbeat(ControlCore& core, const wire::Envelope& envelope) -> void
{
    if (!envelope.has_beat() || envelope.beat().flooded().empty())
        return;
    std::vector<const wire::Operation*> operations;
    for (const auto& operation : envelope.beat().flooded())
        operations.push_back(&operation);
    if (!mergeWithdrawals(
            core.m_pendingWithdrawals, core.m_state.m_keys, operations, core.m_instance, envelope.sender()))
        return;
    logOf("keys").info("key withdrawal received from {} is in force", envelope.sender());
    publishView(core);
    sendHeartbeat(core);
}

} // namespace

auto withdrawKeyNow(ControlCore& core, wire::Operation operation, FailureReason& reason)
    -> asio::awaitable<std::optional<WithdrawalProgress>>
{
    const auto keyId = operation.withdraw_key().key_id();
    operation.set_id(newOperationId(core));
    if (!withdrawNow(core.m_pendingWithdrawals, core.m_state.m_keys, operation, core.m_instance, reason))
        co_return std::nullopt;
    logOf("keys").info("key {} withdrawn by {}", keyId, operation.withdraw_key().author());
    publishView(core);
    sendHeartbeat(core);
    const auto deadline = monotonicNow() + progressTimeout;
    auto progress = progressOf(core, keyId);
    while ((!progress.m_recorded || !progress.m_waiting.empty()) && monotonicNow() < deadline) {
        co_await sleepFor(checkInterval);
        progress = progressOf(core, keyId);
    }
    co_return progress;
}

auto runKeys(ControlCore& core) -> asio::awaitable<void>
{
    core.m_onFolded.emplace_back([&core]() { markFoldedWithdrawals(core); });
    core.m_onMessage.emplace_back([&core](const wire::Envelope& envelope) { mergeFromHeartbeat(core, envelope); });
    while (!core.m_isStopped) {
        co_await sleepFor(checkInterval);
        if (core.m_pendingWithdrawals.m_withdrawals.empty())
            continue;
        if (core.m_isLogReachable) {
            for (auto& operation : appendsDue(core.m_pendingWithdrawals, monotonicNow(), appendRetryInterval))
                post(core, std::move(operation));
        }
        clearFolded(core.m_pendingWithdrawals, core.m_state.m_membership, foldedEnds(core));
        publishView(core);
    }
}

} // namespace hemlockvane::detail
