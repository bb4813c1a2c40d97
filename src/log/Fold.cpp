#include "hemlockvane/log/Fold.h"

#include "hemlockvane/configuration/ApplyConfiguration.h"
#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/jobs/ApplyJobs.h"
#include "hemlockvane/keys/ApplyKeys.h"
#include "hemlockvane/log/ApplySnapshotChunk.h"
#include "hemlockvane/log/Snapshot.h"
#include "hemlockvane/maintenance/ApplyMaintenance.h"
#include "hemlockvane/membership/ApplyMembership.h"
#include "hemlockvane/pools/ApplyPools.h"

#include "hemlockvane/records.pb.h"

#include <algorithm>

namespace hemlockvane {

namespace {

constexpr WallMillis millisPerSecond = 1000;

auto applyChange(FleetState& state, const wire::Operation& operation, const FoldContext& context, FailureReason& reason)
    -> std::optional<AppliedOffset>
{
    switch (operation.change_case()) {
    case wire::Operation::kSetDefault:
        return apply(state, operation.set_default(), context, reason);
    case wire::Operation::kSetException:
        return apply(state, operation.set_exception(), context, reason);
    case wire::Operation::kRemoveException:
        return apply(state, operation.remove_exception(), context, reason);
    case wire::Operation::kGrantKey:
        return apply(state, operation.grant_key(), context, reason);
    case wire::Operation::kWithdrawKey:
        return apply(state, operation.withdraw_key(), context, reason);
    case wire::Operation::kJoinEntry:
        return apply(state, operation.join_entry(), context, reason);
    case wire::Operation::kRemoveEntry:
        return apply(state, operation.remove_entry(), context, reason);
    case wire::Operation::kTakeDuty:
        return apply(state, operation.take_duty(), context, reason);
    case wire::Operation::kReleaseDuty:
        return apply(state, operation.release_duty(), context, reason);
    case wire::Operation::kSubmitJob:
        return apply(state, operation.submit_job(), context, reason);
    case wire::Operation::kCancelJobs:
        return apply(state, operation.cancel_jobs(), context, reason);
    case wire::Operation::kPlaceJob:
        return apply(state, operation.place_job(), context, reason);
    case wire::Operation::kEndAttempt:
        return apply(state, operation.end_attempt(), context, reason);
    case wire::Operation::kAddInstance:
        return apply(state, operation.add_instance(), context, reason);
    case wire::Operation::kRemoveInstance:
        return apply(state, operation.remove_instance(), context, reason);
    case wire::Operation::kMoveInstance:
        return apply(state, operation.move_instance(), context, reason);
    case wire::Operation::kStartWave:
        return apply(state, operation.start_wave(), context, reason);
    case wire::Operation::kPauseWave:
        return apply(state, operation.pause_wave(), context, reason);
    case wire::Operation::kBeginDrain:
        return apply(state, operation.begin_drain(), context, reason);
    case wire::Operation::kEndDrain:
        return apply(state, operation.end_drain(), context, reason);
    case wire::Operation::kMarkInstance:
        return apply(state, operation.mark_instance(), context, reason);
    case wire::Operation::kSnapshotChunk:
        return apply(state, operation.snapshot_chunk(), context, reason);
    case wire::Operation::CHANGE_NOT_SET:
        break;
    }
    return fail(reason, ErrorKind::Internal, "unknown operation");
}

auto isSupported(const wire::Group& group) -> bool
{
    if (group.format() > recordFormat)
        return false;
    const auto& operations = group.operations();
    return std::none_of(operations.begin(), operations.end(),
        [](const auto& operation) { return operation.change_case() == wire::Operation::CHANGE_NOT_SET; });
}

auto extendChainHash(FleetState& state, const OperationResult& result) -> void
{
    state.m_chainHash = hashBytes(result.m_id, state.m_chainHash ^ result.m_offset);
    state.m_chainHash = hashBytes(result.m_reason, state.m_chainHash ^ static_cast<std::uint64_t>(result.m_error));
}

auto foldOperation(FleetState& state, const wire::Operation& operation, const FoldContext& context) -> OperationResult
{
    OperationResult result { operation.id(), context.m_offset, ErrorKind::None, {} };
    if (findResult(state.m_operations, operation.id()) != nullptr) {
        result.m_error = ErrorKind::Duplicate;
        result.m_reason = "operation " + operation.id() + " was applied before";
        extendChainHash(state, result);
        return result;
    }
    FailureReason reason;
    if (!applyChange(state, operation, context, reason)) {
        result.m_error = reason.m_kind;
        result.m_reason = std::move(reason.m_text);
    }
    extendChainHash(state, result);
    addResult(state.m_operations, result);
    return result;
}

// Removes jobs that ended longer ago than the configured time.
auto removeEndedJobs(FleetState& state) -> void
{
    auto& jobs = state.m_jobs;
    const auto keepSeconds = effectiveValue(state.m_configuration, "jobs.keep_ended_s", "", state.m_clock).m_value;
    const auto oldest = state.m_clock - keepSeconds * millisPerSecond;
    while (!jobs.m_ended.empty() && jobs.m_ended.begin()->first < oldest) {
        const auto found = jobs.m_jobs.find(jobs.m_ended.begin()->second);
        if (found != jobs.m_jobs.end())
            jobs.m_jobs.erase(found);
        jobs.m_ended.erase(jobs.m_ended.begin());
    }
}

} // namespace

auto foldGroup(FleetState& state, const wire::Group& group) -> std::vector<OperationResult>
{
    std::vector<OperationResult> results;
    if (state.m_halted || !isSupported(group)) {
        state.m_halted = true;
        return results;
    }
    const FoldContext context { state.m_nextOffset + 1, group.stamped_at_ms(), group.author() };
    state.m_clock = std::max(state.m_clock, context.m_stampedAt);
    results.reserve(static_cast<std::size_t>(group.operations_size()));
    for (const auto& operation : group.operations())
        results.push_back(foldOperation(state, operation, context));
    removeEndedJobs(state);
    forgetRemovedEntries(state.m_membership, state.m_clock);
    ++state.m_nextOffset;
    return results;
}

auto foldRecord(FleetState& state, std::string_view record) -> std::vector<OperationResult>
{
    wire::Group group;
    if (!group.ParseFromArray(record.data(), static_cast<int>(record.size())))
        group.Clear();
    return foldGroup(state, group);
}

} // namespace hemlockvane
