#include "hemlockvane/detail/control/LogTail.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/Commit.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/control/SnapshotDriver.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/log/Appender.h"
#include "hemlockvane/log/Bootstrap.h"
#include "hemlockvane/log/CachedRecords.h"
#include "hemlockvane/log/Fold.h"
#include "hemlockvane/membership/Vouch.h"

#include "hemlockvane/records.pb.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration longPollWait { 1000 };
constexpr Duration readTimeout { 2500 };
constexpr Duration readRetryDelay { 200 };
constexpr double fleetAppendsPerSecond = 300;
constexpr Duration appendTimeout { 2000 };
constexpr Duration pumpInterval { 20 };
constexpr Duration idlePumpInterval { 200 };

auto foldBatch(ControlCore& core, const wire::LogBatch& batch) -> void
{
    for (const auto& record : batch.records()) {
        const auto offset = core.m_state.m_nextOffset;
        const auto results = foldRecord(core.m_state, record);
        const auto outcomes = onFolded(core.m_appender, results, core.m_state.m_operations);
        deliverResults(core, outcomes);
        if (core.m_state.m_halted)
            return;
        cacheRecord(core.m_recordCache, offset, record);
    }
}

auto setLogReachable(ControlCore& core, bool isReachable, const FailureReason& reason) -> void
{
    if (core.m_isLogReachable == isReachable)
        return;
    core.m_isLogReachable = isReachable;
    if (isReachable)
        logOf("log").info("log is reachable, folded to {}", core.m_state.m_nextOffset);
    else
        logOf("log").warn("log is not reachable: {}", reason.m_text);
}

// Each entry may append an equal share of the fleet's rate.
auto updateAppendRate(ControlCore& core) -> void
{
    const auto& entries = core.m_state.m_membership.m_entries;
    const auto members = std::count_if(
        entries.begin(), entries.end(), [](const auto& entry) { return entry.second.m_removedAt == 0; });
    setAppendRate(core.m_appender, fleetAppendsPerSecond, static_cast<std::size_t>(members));
}

auto notifyFolded(ControlCore& core) -> void
{
    updateAppendRate(core);
    for (const auto& handler : core.m_onFolded)
        handler();
    publishView(core);
}

// Reads and folds one batch. Returns false on failure.
auto readOnce(ControlCore& core) -> asio::awaitable<bool>
{
    FailureReason reason;
    const auto sentAt = monotonicNow();
    const auto from = core.m_state.m_nextOffset;
    const auto batch = co_await core.m_log.read(from, longPollWait, readTimeout, reason);
    setLogReachable(core, batch.has_value(), reason);
    if (!batch)
        co_return false;
    core.m_oldestOffset = batch->oldest_offset();
    if (hasFallenBehind(core.m_state.m_nextOffset, core.m_oldestOffset))
        co_return co_await restoreFromLog(core);
    if (batch->first_offset() == core.m_state.m_nextOffset)
        foldBatch(core, *batch);
    onFoldedEnd(core.m_vouch, core.m_state.m_nextOffset);
    onLogRead(core.m_vouch, sentAt, batch->end_offset());
    const auto isAtEnd = !core.m_state.m_halted && core.m_state.m_nextOffset >= batch->end_offset();
    if (isAtEnd) {
        onCaughtUp(core.m_appender, sentAt);
        core.m_caughtUpAt = sentAt;
    }
    notifyFolded(core);
    co_return true;
}

auto outcomeOfFailure(const FailureReason& reason) -> AppendOutcome
{
    return reason.m_kind == ErrorKind::AnswerLost ? AppendOutcome::Unknown : AppendOutcome::NotAppended;
}

} // namespace

auto foldRecords(ControlCore& core, const wire::LogBatch& batch) -> void
{
    foldBatch(core, batch);
    onFoldedEnd(core.m_vouch, core.m_state.m_nextOffset);
    notifyFolded(core);
}

auto tailLog(ControlCore& core) -> asio::awaitable<void>
{
    while (!core.m_isStopped) {
        const auto succeeded = co_await readOnce(core);
        if (!succeeded)
            co_await sleepFor(readRetryDelay);
    }
}

auto pumpAppends(ControlCore& core) -> asio::awaitable<void>
{
    while (!core.m_isStopped) {
        const auto pending = nextAppend(core.m_appender, core.m_instance, wallNow(), monotonicNow());
        if (pending) {
            FailureReason reason;
            const auto offset = co_await core.m_log.append(pending->m_record, appendTimeout, reason);
            const auto outcome = offset ? AppendOutcome::Appended : outcomeOfFailure(reason);
            onAppendOutcome(core.m_appender, pending->m_number, outcome, monotonicNow());
            core.m_metrics.count(offset ? "log_appends_total" : "log_append_failures_total");
        }
        deliverResults(core, expire(core.m_appender, monotonicNow()));
        core.m_appendTimer.expires_after(core.m_appender.m_operations.empty() ? idlePumpInterval : pumpInterval);
        boost::system::error_code error;
        co_await core.m_appendTimer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

} // namespace hemlockvane::detail
