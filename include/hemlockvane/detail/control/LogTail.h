#pragma once

#include <boost/asio/awaitable.hpp>

namespace hemlockvane::detail {

struct ControlCore;

/// @brief Reads the log to its end again and again and folds what it reads; ends when the process stops.
auto tailLog(ControlCore& core) -> boost::asio::awaitable<void>;

/// @brief Appends what is queued, as the appender decides; ends when the process stops.
auto pumpAppends(ControlCore& core) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail
