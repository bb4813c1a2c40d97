#pragma once

#include "hemlockvane/detail/http/HttpConnection.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief Idle connections to executors, kept for the next request. Used on the traffic thread.
class ExecutorConnections {
public:
    explicit ExecutorConnections(boost::asio::any_io_executor executor);

    /// @brief Takes an idle connection.
    /// @result empty when there is none: the caller opens a new one
    auto takeIdle(std::string_view address) -> std::optional<HttpConnection>;

    /// @brief A new connection, not yet connected.
    auto makeNew() -> HttpConnection;

    /// @brief Gives a connection back; a closed one is dropped, and one beyond the idle ones allowed is closed.
    auto giveBack(std::string_view address, HttpConnection connection, std::size_t maximumIdle) -> void;

    /// @brief Closes the idle connections to an executor: it is gone or they may have gone silent.
    auto dropIdle(std::string_view address) -> void;

private:
    boost::asio::any_io_executor m_executor;
    std::map<std::string, std::deque<HttpConnection>, std::less<>> m_idle;
};

} // namespace hemlockvane::detail
