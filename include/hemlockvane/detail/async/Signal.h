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

    /// @brief Wakes the waiting coroutine, or the next one that waits.
    auto notify() -> void;

    /// @brief Returns when notified, or after `longest`.
    auto wait(Duration longest) -> boost::asio::awaitable<void>;

private:
    boost::asio::steady_timer m_timer;
    bool m_isSet = false;
};

/// @brief Waits.
auto sleepFor(Duration time) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail
