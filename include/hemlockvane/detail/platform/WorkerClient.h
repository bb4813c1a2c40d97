#pragma once

#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/placement/WorkerReport.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief Fetches a worker's report of its tasks.
/// @param worker id of the worker
/// @param address IP number and port
/// @param reason receives NoCapacity or AnswerLost
/// @result empty on error
auto readWorkerReport(std::string worker, std::string address, std::chrono::milliseconds timeout, FailureReason& reason)
    -> boost::asio::awaitable<std::optional<WorkerReport>>;

/// @brief Sends a command to a worker.
/// @param path path of the command, for example "/v1/lease"
/// @param reason receives NoCapacity, AnswerLost, or Conflict with the worker's refusal
/// @result true when the worker accepted the command
auto commandWorker(std::string address, std::string path, boost::json::object body, std::chrono::milliseconds timeout,
    FailureReason& reason) -> boost::asio::awaitable<bool>;

} // namespace hemlockvane::detail
