#pragma once

#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/log/AppendOutcome.h"
#include "hemlockvane/log/AppenderState.h"
#include "hemlockvane/log/OperationResult.h"
#include "hemlockvane/log/OperationWindow.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief Makes an appender whose token bucket is full.
auto makeAppender(const AppenderLimits& limits, Instant now) -> AppenderState;

/// @brief Sets the append rate to an equal share of the fleet's rate.
/// @param fleetAppendsPerSecond rate for all entries together
/// @param members number of entries, this one included
auto setAppendRate(AppenderState& state, double fleetAppendsPerSecond, std::size_t members) -> void;

/// @brief Queues an operation for the log. If the same operation is pending already, only its deadline is extended.
///
/// onFolded, onSnapshotLoaded or expire returns the outcome. Check the fold's operation window first: an operation that
/// is in it already has a result and needs no append.
/// @param reason receives QueueFull, TooLarge, LogUnavailable (during an outage), or Conflict (another pending
/// operation has this id); in each case the operation is certainly not appended by this call
/// @result false on error
/// @complexity logarithmic in the pending operations
auto enqueue(AppenderState& state, wire::Operation operation, const AppendOptions& options, Instant now,
    FailureReason& reason) -> bool;

/// @brief Returns the append to send now.
/// @param author id of this entry instance
/// @param stampedAt wall clock for the record
/// @result empty when nothing waits, another append is in flight, the retry delay has not passed, or the append
/// rate leaves no token
/// @complexity linear in the group
auto nextAppend(AppenderState& state, std::string_view author, WallMillis stampedAt, Instant now)
    -> std::optional<PendingAppend>;

/// @brief Processes the outcome of an append; the outcome of one that has timed out is ignored.
///
/// This completes no operation: the result of an operation is known only when its record was folded.
auto onAppendOutcome(AppenderState& state, std::uint64_t number, AppendOutcome answer, Instant now) -> void;

/// @brief Processes the results of folded records.
/// @param window the fold's operation window; the outcome of a duplicate is the result of its first record
/// @result outcomes of the pending operations among them
auto onFolded(AppenderState& state, std::span<const OperationResult> results, const OperationWindow& window)
    -> std::vector<OperationResult>;

/// @brief Processes the operation window of a loaded snapshot.
/// @result outcomes of the pending operations that are in it
auto onSnapshotLoaded(AppenderState& state, const OperationWindow& window) -> std::vector<OperationResult>;

/// @brief To be called after onFolded when a read that was sent at `sentAt` has reached the end of the log.
///
/// Operations of appends that had finished or timed out before `sentAt` and were not read back are queued again under
/// the same ids. If both records reach the log, the fold rejects the second. Must not be called while the fold is
/// halted.
auto onCaughtUp(AppenderState& state, Instant sentAt) -> void;

/// @brief Applies the timeouts.
///
/// The append in flight has an unknown outcome after the answer timeout. An operation that was never sent fails with
/// LogUnavailable at its deadline or in an outage. One that may be in the log fails with OutcomeUnknown at its
/// deadline.
/// @result outcomes of the operations that failed
auto expire(AppenderState& state, Instant now) -> std::vector<OperationResult>;

/// @brief True when all appends have failed for `AppenderLimits::m_outageAfter`.
auto inOutage(const AppenderState& state, Instant now) -> bool;

} // namespace hemlockvane
