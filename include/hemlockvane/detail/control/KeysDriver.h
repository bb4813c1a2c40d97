#pragma once

#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/keys/WithdrawalProgress.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace hemlockvane::wire {
class Operation;
} // namespace hemlockvane::wire

namespace hemlockvane::detail {

struct ControlCore;

/// @brief Withdraws a key on this entry at once, sends the withdrawal to the peers, and waits a few seconds at
/// most until it is recorded in the log and in force on all members.
/// @param operation a WithdrawKey operation
/// @param reason receives NotFound or QueueFull
/// @result progress of the withdrawal at the end of the wait, empty when rejected
auto withdrawKeyNow(ControlCore& core, wire::Operation operation, FailureReason& reason)
    -> boost::asio::awaitable<std::optional<WithdrawalProgress>>;

/// @brief Appends the withdrawals in force to the log while it can be reached, and erases those that every member has
/// folded; ends when the process stops.
auto runKeys(ControlCore& core) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail
