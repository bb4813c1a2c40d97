#pragma once

#include <boost/asio/awaitable.hpp>

namespace hemlockvane::wire {
class LogBatch;
} // namespace hemlockvane::wire

namespace hemlockvane::detail {

struct ControlCore;

/// @brief Reads the log to its end again and again and folds what it reads; ends when the process stops.
auto tailLog(ControlCore& core) -> boost::asio::awaitable<void>;

/// @brief Folds records that follow what is folded, from the log or from a peer, and tells everybody who waits.
auto foldRecords(ControlCore& core, const wire::LogBatch& batch) -> void;

/// @brief Appends what is queued, as the appender decides; ends when the process stops.
auto pumpAppends(ControlCore& core) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail
