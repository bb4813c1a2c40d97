#pragma once

#include "hemlockvane/detail/http/ExchangeDeadline.h"

#include <boost/asio/execution_context.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

#include <chrono>
#include <optional>

namespace hemlockvane::detail {

/// @brief The deadlines of all exchanges of an io_context. They share one timer, since an exchange is nearly always
/// over long before its deadline. The io_context runs on one thread.
class ExchangeDeadlines : public boost::asio::execution_context::service {
public:
    using key_type = ExchangeDeadlines; // The name that Asio looks for.

    inline static boost::asio::execution_context::id id; // As above.

    /// @param context an io_context
    explicit ExchangeDeadlines(boost::asio::execution_context& context);

    auto add(ExchangeDeadline& deadline) -> void;
    auto remove(ExchangeDeadline& deadline) -> void;

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    auto shutdown() -> void override;
    auto arm(TimePoint time) -> void;
    auto closeExpired() -> void;

    boost::intrusive::list<ExchangeDeadline, boost::intrusive::constant_time_size<false>> m_active;
    boost::asio::io_context& m_context;
    std::optional<boost::asio::steady_timer> m_timer;
    TimePoint m_armedFor = TimePoint::max(); // When the timer expires; never if it isn't armed.
};

} // namespace hemlockvane::detail
