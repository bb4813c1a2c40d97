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

/// @brief Pool of idle connections to executors. Used on the traffic thread.
class ExecutorConnections {
public:
    explicit ExecutorConnections(boost::asio::any_io_executor executor);

    /// @brief Takes an idle connection out of the pool; connections closed by the executor are skipped.
    /// @result empty when there is none, so that the caller opens a new one
    auto takeIdle(std::string_view address) -> std::optional<HttpConnection>;

    /// @brief Makes a connection that is not yet connected.
    auto makeNew() -> HttpConnection;

    /// @brief Returns a connection to the pool. It is closed if `maximumIdle` connections to the address are idle.
    auto giveBack(std::string_view address, HttpConnection connection, std::size_t maximumIdle) -> void;

    /// @brief Closes the idle connections to an executor that has left or no longer responds on them.
    auto dropIdle(std::string_view address) -> void;

private:
    boost::asio::any_io_executor m_executor;
    std::map<std::string, std::deque<HttpConnection>, std::less<>> m_idle;
};

} // namespace hemlockvane::detail
