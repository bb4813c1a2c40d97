#pragma once

#include <boost/asio/awaitable.hpp>

namespace hemlockvane::wire {
class LogBatch;
} // namespace hemlockvane::wire

namespace hemlockvane::detail {

struct ControlCore;

/// @brief Continuously reads new records of the log and folds them; ends when the process stops.
auto tailLog(ControlCore& core) -> boost::asio::awaitable<void>;

/// @brief Folds a batch of records from the log or from a peer, and notifies the waiting commits and the fold handlers.
/// @param batch must begin at the next offset of the state
auto foldRecords(ControlCore& core, const wire::LogBatch& batch) -> void;

/// @brief Sends the appends that the appender makes of the queued operations; ends when the process stops.
auto pumpAppends(ControlCore& core) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail
