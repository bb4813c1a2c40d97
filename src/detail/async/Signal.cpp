#include "hemlockvane/detail/async/Signal.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;

Signal::Signal(asio::io_context& context)
    : m_timer(context)
{
}

auto Signal::notify() -> void
{
    if (m_isSet)
        return;
    m_isSet = true;
    m_timer.cancel();
}

auto Signal::wait(Duration timeout) -> asio::awaitable<void>
{
    if (!m_isSet) {
        boost::system::error_code error;
        m_timer.expires_after(timeout);
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    m_isSet = false;
}

auto sleepFor(Duration time) -> asio::awaitable<void>
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

} // namespace hemlockvane::detail
