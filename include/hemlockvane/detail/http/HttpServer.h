#pragma once

#include "hemlockvane/detail/http/HttpLimits.h"
#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/detail/http/HttpResponse.h"
#include "hemlockvane/errors/FailureReason.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief Answers one request; runs on the server's io_context.
using HttpHandler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

class ConnectionTable;

/// @brief An HTTP/1.1 server with limits, on one listening socket.
///
/// Malformed, oversized and slow requests are answered with one of the errors in ErrorKind, and the connection is
/// closed. When memory or connections run out, the connection whose incomplete request is oldest is closed without an
/// answer, then the one that has been idle longest.
class HttpServer {
public:
    HttpServer(boost::asio::io_context& context, HttpLimits limits, HttpHandler handler);

    /// @param table shared with other servers of the same thread; its limit of memory replaces that of `limits`
    HttpServer(boost::asio::io_context& context, HttpLimits limits, std::shared_ptr<ConnectionTable> table,
        HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    auto operator=(const HttpServer&) -> HttpServer& = delete;

    /// @brief Starts to listen.
    /// @param address IP number and port, for example "127.0.0.1:8080"; port 0 selects a free port
    /// @param reason receives BadRequest for a malformed address, Internal when the socket cannot be opened
    /// @result the port in use, empty on error
    auto listen(std::string_view address, FailureReason& reason) -> std::optional<std::uint16_t>;

    /// @brief Closes each connection after its next response, which announces that with "Connection: close".
    auto disableKeepAlive() -> void;

    /// @brief Stops accepting and closes idle connections; requests in flight are answered first.
    auto drain() -> void;

    /// @brief Number of open connections.
    [[nodiscard]] auto connectionCount() const -> std::size_t;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockvane::detail
