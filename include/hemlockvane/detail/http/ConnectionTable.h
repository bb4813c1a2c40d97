#pragma once

#include "hemlockvane/ingress/ConnectionUse.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>

namespace hemlockvane::detail {

/// @brief Connections of one or more servers, and the memory that their requests and answers hold together.
///
/// All of its servers run on one thread.
class ConnectionTable {
    struct Connection {
        ingress::ConnectionUse m_use;
        std::function<void()> m_close;
        bool m_isClosed = false; // Its coroutine may still handle bytes that had arrived before.
    };

public:
    using Place = std::list<Connection>::iterator;

    /// @param maximumBytes for all requests and answers together
    explicit ConnectionTable(std::size_t maximumBytes);

    /// @param close closes the connection's socket; its coroutine notices that and removes the connection
    auto add(std::function<void()> close) -> Place;

    auto remove(Place connection) -> void;

    auto enter(Place connection, ingress::ConnectionPhase phase) -> void;

    /// @brief Sets the bytes that a connection holds. Others whose requests are incomplete are closed if that exceeds
    /// the maximum, the oldest request first.
    /// @result false if the maximum is exceeded nevertheless, or if the connection itself has been closed
    auto hold(Place connection, std::size_t bytes) -> bool;

    /// @brief Closes one connection with an incomplete request or without one, so that a new one can be served.
    /// @result false if all connections are in use by requests that are new or being handled
    auto makePlace() -> bool;

    /// @result number of connections closed by `hold` and `makePlace`
    [[nodiscard]] auto closedConnections() const -> std::uint64_t { return m_closed; }

    [[nodiscard]] auto heldBytes() const -> std::size_t { return m_heldBytes; }

private:
    auto close(Place connection) -> void;

    std::size_t m_maximumBytes;
    std::size_t m_heldBytes = 0;
    std::uint64_t m_closed = 0;
    Instant m_loggedAt; // When a closed connection was last logged.
    std::list<Connection> m_connections;
};

} // namespace hemlockvane::detail
