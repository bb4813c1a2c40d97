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

/// @brief Withdraws a key here at once, tells the peers, and waits a moment for the log and all members.
/// @param operation carries the withdrawal
/// @param reason receives NotFound or QueueFull
/// @result how far it came; empty when refused
auto withdrawKeyNow(ControlCore& core, wire::Operation operation, FailureReason& reason)
    -> boost::asio::awaitable<std::optional<WithdrawalProgress>>;

/// @brief Records flooded withdrawals when the log can be reached and forgets recorded ones; ends with the process.
auto runKeys(ControlCore& core) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail
