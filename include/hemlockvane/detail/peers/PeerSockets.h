#pragma once

#include "hemlockvane/errors/FailureReason.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane::wire {
class Envelope;
} // namespace hemlockvane::wire

namespace hemlockvane::detail {

/// @brief Called with each message from a peer, on the control thread.
using PeerMessageHandler = std::function<void(const wire::Envelope&)>;

/// @brief Messages between entry instances over ZeroMQ. Sending never blocks; messages may be lost, and messages of
/// different peers have no order.
///
/// ZeroMQ's heartbeat detects dead connections and reconnects them.
class PeerSockets {
public:
    PeerSockets(boost::asio::io_context& context, PeerMessageHandler handler);
    ~PeerSockets();
    PeerSockets(const PeerSockets&) = delete;
    auto operator=(const PeerSockets&) -> PeerSockets& = delete;

    /// @brief Listens for peers.
    /// @param endpoint for example "tcp://127.0.0.1:7001"; port * selects a free port
    /// @param reason receives BadRequest
    /// @result the endpoint in use, empty on error
    auto listen(std::string_view endpoint, FailureReason& reason) -> std::optional<std::string>;

    /// @brief Opens a connection to a peer; does nothing if there is one.
    auto connect(std::string_view instance, std::string_view endpoint) -> void;

    /// @brief Closes the connection to a peer; messages that are still queued for it may be lost.
    auto disconnect(std::string_view instance) -> void;

    /// @brief Queues a message to a peer.
    /// @result false when there is no connection to the peer or its queue is full; the message is dropped
    auto send(std::string_view instance, const wire::Envelope& envelope) -> bool;

    /// @brief Bytes sent and received so far.
    [[nodiscard]] auto byteCount() const -> std::uint64_t;

    /// @brief Closes all sockets. Queued messages are still sent for a short time (`lingerMillis`).
    auto close() -> void;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockvane::detail
