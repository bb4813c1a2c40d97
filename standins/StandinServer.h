#pragma once

#include "StandinAnswer.h"

#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/errors/FailureReason.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hemlockvane::standins {

/// @brief Answers one request of a stand-in.
using StandinHandler = std::function<boost::asio::awaitable<StandinAnswer>(detail::HttpRequest)>;

/// @brief An HTTP server with fault injection: malformed, truncated or missing responses.
class StandinServer {
public:
    StandinServer(boost::asio::io_context& context, StandinHandler handler);
    ~StandinServer();
    StandinServer(const StandinServer&) = delete;
    auto operator=(const StandinServer&) -> StandinServer& = delete;

    /// @brief Starts to listen.
    /// @param address IP:port; port 0 selects a free port
    /// @param reason receives the error
    /// @result the address with the port in use, empty on error
    auto listen(const std::string& address, FailureReason& reason) -> std::optional<std::string>;

    /// @brief Stops reading from and responding on all open connections without closing them. Connections that are
    /// accepted later are served normally.
    auto silenceOpenConnections() -> void;

    /// @brief Stops listening and closes all connections, as the end of the process would.
    auto closeAll() -> void;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

/// @brief Listens, prints "listening on IP:port" and runs until SIGTERM or SIGINT.
/// @result exit code
auto runUntilStopped(boost::asio::io_context& context, StandinServer& server, const std::string& address) -> int;

} // namespace hemlockvane::standins
