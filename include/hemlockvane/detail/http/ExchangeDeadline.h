#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list_hook.hpp>

#include <chrono>

namespace hemlockvane::detail {

class ExchangeDeadlines;

/// @brief Closes a socket at a point in time, unless it is destroyed before.
class ExchangeDeadline
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
    ExchangeDeadline(
        ExchangeDeadlines& deadlines, boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout);
    ~ExchangeDeadline();
    ExchangeDeadline(const ExchangeDeadline&) = delete;
    auto operator=(const ExchangeDeadline&) -> ExchangeDeadline& = delete;

    /// @brief True when the socket was closed.
    [[nodiscard]] auto hasExpired() const -> bool { return m_hasExpired; }

private:
    friend class ExchangeDeadlines;

    ExchangeDeadlines& m_deadlines;
    boost::asio::ip::tcp::socket& m_socket;
    std::chrono::steady_clock::time_point m_at;
    bool m_hasExpired = false;
};

} // namespace hemlockvane::detail
