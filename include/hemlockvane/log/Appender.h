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

/// @brief An appender with a full burst of tokens.
auto makeAppender(const AppenderLimits& limits, Instant now) -> AppenderState;

/// @brief Sets the rate to this entry's part of what all entries together may append.
/// @param fleetAppendsPerSecond budget of the whole fleet
/// @param members entries that share it, this one included
auto setAppendRate(AppenderState& state, double fleetAppendsPerSecond, std::size_t members) -> void;

/// @brief Queues an operation for the log. An id that is pending already joins the pending one.
///
/// The outcome comes from onFolded, onSnapshotLoaded or expire. An operation whose id is in the fold's window needs no
/// append.
/// @param reason receives QueueFull, TooLarge, LogUnavailable (the log is down now), or Conflict (the id belongs to
/// another pending operation); each claims truthfully that nothing was run
/// @result false on error
/// @complexity logarithmic in the pending operations
auto enqueue(AppenderState& state, wire::Operation operation, const AppendOptions& terms, Instant now,
    FailureReason& reason) -> bool;

/// @brief The append to send now: none while another is in flight, after a recent failure, or above the rate.
/// @param author id of this entry instance
/// @param stampedAt wall clock for the record
/// @complexity linear in the group
auto nextAppend(AppenderState& state, std::string_view author, WallMillis stampedAt, Instant now)
    -> std::optional<PendingAppend>;

/// @brief Takes the log service's answer; an answer to an append that was given up on is ignored.
///
/// No outcome follows from an answer: an operation's outcome is what the fold made of it.
auto onAppendOutcome(AppenderState& state, std::uint64_t number, AppendOutcome answer, Instant now) -> void;

/// @brief Takes the results of folded records and returns the outcomes of this entry's operations among them.
/// @param window the fold's window; a duplicate has the outcome of its first appearance
auto onFolded(AppenderState& state, std::span<const OperationResult> results, const OperationWindow& window)
    -> std::vector<OperationResult>;

/// @brief Outcomes of pending operations that a loaded snapshot holds in its window.
auto onSnapshotLoaded(AppenderState& state, const OperationWindow& window) -> std::vector<OperationResult>;

/// @brief Tells that the log was folded to its end by a read sent at `sentAt`; call it after onFolded.
///
/// Operations of appends answered or lost before the read that were not among the results are queued again under the
/// same ids; the fold rejects the second if both arrive. Not to be called while the fold is halted.
auto onCaughtUp(AppenderState& state, Instant sentAt) -> void;

/// @brief Gives up on what cannot be answered in time, at once and truthfully.
///
/// An append without an answer counts as lost after the answer timeout. An operation that was never sent ends as
/// LogUnavailable at its deadline or when the log is down; one that may be in the log ends as OutcomeUnknown at its
/// deadline.
auto expire(AppenderState& state, Instant now) -> std::vector<OperationResult>;

/// @brief True when appends have failed for the outage bound.
auto inOutage(const AppenderState& state, Instant now) -> bool;

} // namespace hemlockvane
