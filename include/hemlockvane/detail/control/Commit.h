#pragma once

#include "hemlockvane/log/OperationResult.h"
#include "hemlockvane/time/Time.h"

#include <boost/asio/awaitable.hpp>

#include <span>

namespace hemlockvane::wire {
class Operation;
} // namespace hemlockvane::wire

namespace hemlockvane::detail {

struct ControlCore;

/// @brief Longest time that a commit waits for its record to be read back, when nothing else is said.
inline constexpr Duration commitTimeout { 4000 };

/// @brief Appends an operation and waits until it was read back from the log.
///
/// Runs on the control thread.
/// @param operation an id is given when it has none; the same id twice is applied once
/// @param keepDuringOutage true: stays queued while the log is down instead of being refused
/// @result what the fold made of it; LogUnavailable when it was certainly not appended, OutcomeUnknown when it may be
auto commit(ControlCore& core, wire::Operation operation, Duration timeout = commitTimeout,
    bool keepDuringOutage = false) -> boost::asio::awaitable<OperationResult>;

/// @brief Queues an operation whose outcome the caller sees in the folded state.
/// @result false when the appender refused it
auto post(ControlCore& core, wire::Operation operation, Duration timeout = commitTimeout, bool keepDuringOutage = false)
    -> bool;

/// @brief Wakes the coroutines that wait for these results.
auto deliverResults(ControlCore& core, std::span<const OperationResult> results) -> void;

} // namespace hemlockvane::detail
