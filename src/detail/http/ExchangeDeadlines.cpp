#include "hemlockvane/detail/http/ExchangeDeadlines.h"

#include <algorithm>

namespace hemlockvane::detail {

namespace asio = boost::asio;

ExchangeDeadline::ExchangeDeadline(
    ExchangeDeadlines& deadlines, asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout)
    : m_deadlines(deadlines)
    , m_socket(socket)
    , m_at(std::chrono::steady_clock::now() + timeout)
{
    m_deadlines.add(*this);
}

ExchangeDeadline::~ExchangeDeadline() { m_deadlines.remove(*this); }

ExchangeDeadlines::ExchangeDeadlines(asio::execution_context& context)
    : service(context)
    , m_context(static_cast<asio::io_context&>(context))
{
}

auto ExchangeDeadlines::add(ExchangeDeadline& deadline) -> void
{
    m_active.push_back(deadline);
    if (deadline.m_at < m_armedFor)
        arm(deadline.m_at);
}

auto ExchangeDeadlines::remove(ExchangeDeadline& deadline) -> void
{
    deadline.unlink();
    // An armed timer would keep the io_context running.
    if (m_active.empty() && m_armedFor != TimePoint::max()) {
        m_armedFor = TimePoint::max();
        m_timer.reset();
    }
}

auto ExchangeDeadlines::shutdown() -> void { m_active.clear(); }

auto ExchangeDeadlines::arm(TimePoint time) -> void
{
    m_armedFor = time;
    if (!m_timer)
        m_timer.emplace(m_context);
    m_timer->expires_at(time);
    m_timer->async_wait([this](const boost::system::error_code& error) {
        if (!error)
            closeExpired();
    });
}

auto ExchangeDeadlines::closeExpired() -> void
{
    const auto now = std::chrono::steady_clock::now();
    auto next = TimePoint::max();
    for (auto& deadline : m_active) {
        if (deadline.m_hasExpired)
            continue;
        if (deadline.m_at > now) {
            next = std::min(next, deadline.m_at);
            continue;
        }
        boost::system::error_code error;
        deadline.m_hasExpired = true;
        deadline.m_socket.close(error);
    }
    m_armedFor = TimePoint::max();
    if (next != TimePoint::max())
        arm(next);
}

} // namespace hemlockvane::detail
