#pragma once

#include "hemlockvane/time/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hemlockvane::detail {

/// @brief Wakes one coroutine that waits for work.
class Signal {
public:
    explicit Signal(boost::asio::io_context& context);

    /// @brief Wakes the waiting coroutine. If none waits, the next call of wait returns at once.
    auto notify() -> void;

    /// @brief Waits until notified, at most for `timeout`.
    auto wait(Duration timeout) -> boost::asio::awaitable<void>;

private:
    boost::asio::steady_timer m_timer;
    bool m_isSet = false;
};

/// @brief Suspends the calling coroutine for a time.
auto sleepFor(Duration time) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail
