#pragma once

#include <boost/asio/awaitable.hpp>

namespace hemlockvane::detail {

struct ControlCore;

/// @brief Writes snapshots while this entry holds the duty for it; ends when the process stops.
auto runSnapshots(ControlCore& core) -> boost::asio::awaitable<void>;

/// @brief Loads the newest snapshot out of the kept records, when those that this entry needs next have expired.
/// @result false when the log does not give the state now
auto restoreFromLog(ControlCore& core) -> boost::asio::awaitable<bool>;

} // namespace hemlockvane::detail
