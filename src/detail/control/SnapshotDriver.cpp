#include "hemlockvane/detail/control/SnapshotDriver.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/Commit.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/log/Appender.h"
#include "hemlockvane/log/Bootstrap.h"
#include "hemlockvane/log/ReadSnapshot.h"
#include "hemlockvane/log/SnapshotPlan.h"
#include "hemlockvane/log/WriteSnapshot.h"
#include "hemlockvane/membership/Duties.h"
#include "hemlockvane/membership/Vouch.h"

#include "hemlockvane/records.pb.h"

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration planInterval { 1000 };
constexpr Duration readTimeout { 5000 };

auto holdsDuty(const ControlCore& core) -> bool
{
    const auto& duties = core.m_state.m_membership.m_duties;
    const auto found = duties.find(snapshotsDuty);
    return found != duties.end() && found->second.m_holder == core.m_instance;
}

auto writeSnapshot(ControlCore& core) -> asio::awaitable<void>
{
    auto writer = beginSnapshot(core.m_state, newOperationId(core), SnapshotLimits());
    while (!isComplete(writer) && !core.m_isStopping) {
        const auto result = co_await commit(core, currentChunk(writer));
        if (!onChunkOutcome(writer, result)) {
            logOf("log").warn("snapshot {} abandoned: {}", writer.m_snapshotName, result.m_reason);
            co_return;
        }
    }
    if (isComplete(writer))
        logOf("log").info("snapshot {} of {} bytes through {} written", writer.m_snapshotName, writer.m_bytes.size(),
            writer.m_endOffset);
}

// Scans all records that the log keeps. Returns false when a read fails.
auto scanLog(ControlCore& core, SnapshotReader& reader) -> asio::awaitable<bool>
{
    FailureReason reason;
    auto from = core.m_oldestOffset;
    while (true) {
        const auto batch = co_await core.m_log.read(from, Duration::zero(), readTimeout, reason);
        if (!batch)
            co_return false;
        for (const auto& record : batch->records())
            scanRecord(reader, record);
        from = batch->first_offset() + static_cast<Offset>(batch->records_size());
        if (batch->records().empty() || from >= batch->end_offset())
            co_return true;
    }
}

} // namespace

auto runSnapshots(ControlCore& core) -> asio::awaitable<void>
{
    while (!core.m_isStopping) {
        co_await sleepFor(planInterval);
        if (core.m_state.m_halted || !holdsDuty(core) || !mayAct(core.m_vouch, monotonicNow()))
            continue;
        if (snapshotNeed(core.m_state, SnapshotLimits(), core.m_oldestOffset, wallNow()) != SnapshotNeed::None)
            co_await writeSnapshot(core);
    }
}

auto restoreFromLog(ControlCore& core) -> asio::awaitable<bool>
{
    SnapshotReader reader;
    if (!co_await scanLog(core, reader))
        co_return false;
    FailureReason reason;
    auto state = finishScan(reader, reason);
    if (!state || hasFallenBehind(state->m_nextOffset, core.m_oldestOffset)) {
        logOf("log").error(
            "cannot restore the state from the records from offset {} on: {}", core.m_oldestOffset, reason.m_text);
        co_return false;
    }
    core.m_state = std::move(*state);
    deliverResults(core, onSnapshotLoaded(core.m_appender, core.m_state.m_operations));
    logOf("log").info("snapshot loaded, folding from {}", core.m_state.m_nextOffset);
    co_return true;
}

} // namespace hemlockvane::detail
