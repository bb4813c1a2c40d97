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

/// @brief Default time that a commit waits for its operation to be read back from the log.
inline constexpr Duration commitTimeout { 4000 };

/// @brief Appends an operation and waits until it is read back from the log and folded.
///
/// Must be called on the control thread.
/// @param operation gets a new id when it has none; an operation that is committed twice with one id is applied once
/// @param keepDuringOutage true: stays queued during an outage of the log instead of being rejected
/// @result result of the fold; LogUnavailable when it was certainly not appended, OutcomeUnknown when it may have been
auto commit(ControlCore& core, wire::Operation operation, Duration timeout = commitTimeout,
    bool keepDuringOutage = false) -> boost::asio::awaitable<OperationResult>;

/// @brief Queues an operation without waiting; its outcome shows only in the folded state.
/// @result false when the appender rejected it
auto post(ControlCore& core, wire::Operation operation, Duration timeout = commitTimeout, bool keepDuringOutage = false)
    -> bool;

/// @brief Wakes the coroutines that wait for these results in commit.
auto deliverResults(ControlCore& core, std::span<const OperationResult> results) -> void;

} // namespace hemlockvane::detail
