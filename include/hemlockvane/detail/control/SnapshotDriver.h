#pragma once

#include <boost/asio/awaitable.hpp>

namespace hemlockvane::detail {

struct ControlCore;

/// @brief Writes snapshots to the log while this entry holds the snapshot duty; ends when a planned stop begins.
auto runSnapshots(ControlCore& core) -> boost::asio::awaitable<void>;

/// @brief Loads the newest snapshot from the log; for an entry that needs records which the log no longer keeps.
/// @result false when the log cannot be read or holds no usable snapshot
auto restoreFromLog(ControlCore& core) -> boost::asio::awaitable<bool>;

} // namespace hemlockvane::detail
