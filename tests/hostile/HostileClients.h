#pragma once

#include "HostileKind.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace hemlockvane::hostile {

/// @brief Clients that send requests beyond the limits of a server and keep their connections open.
///
/// Each sends a bounded number of bytes and then waits until the server closes its connection or `close` is called.
class HostileClients {
public:
    /// @param target address of the server
    /// @param path of the requests
    /// @param bytes that each client sends, besides the beginning of its request
    HostileClients(
        boost::asio::io_context& context, HostileKind kind, std::string target, std::string path, std::size_t bytes);
    ~HostileClients();
    HostileClients(const HostileClients&) = delete;
    auto operator=(const HostileClients&) -> HostileClients& = delete;

    auto start(std::size_t clients) -> void;

    /// @brief Closes the connections that are still open.
    auto close() -> void;

    /// @result clients that have not yet sent all bytes and whose connection is open
    [[nodiscard]] auto sending() const -> std::size_t;

    /// @result connections that the server has closed
    [[nodiscard]] auto closedByServer() const -> std::size_t;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockvane::hostile
