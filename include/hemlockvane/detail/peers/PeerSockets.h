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

/// @brief Receives each message of a peer on the control thread.
using PeerMessageHandler = std::function<void(const wire::Envelope&)>;

/// @brief Messages between entry instances over ZeroMQ: unordered between peers, may be lost, never blocks.
///
/// A connection that has gone silent is found by ZeroMQ's heartbeat and opened anew.
class PeerSockets {
public:
    PeerSockets(boost::asio::io_context& context, PeerMessageHandler handler);
    ~PeerSockets();
    PeerSockets(const PeerSockets&) = delete;
    auto operator=(const PeerSockets&) -> PeerSockets& = delete;

    /// @brief Listens for peers.
    /// @param endpoint for example "tcp://127.0.0.1:7001"; port * takes a free one
    /// @param reason receives BadRequest
    /// @result the endpoint in use, empty on error
    auto listen(std::string_view endpoint, FailureReason& reason) -> std::optional<std::string>;

    /// @brief Opens the way to a peer, or keeps the one that exists.
    auto connect(std::string_view instance, std::string_view endpoint) -> void;

    /// @brief Drops a peer and what is still queued for it.
    auto disconnect(std::string_view instance) -> void;

    /// @brief Queues a message.
    /// @result false when the peer is unknown or its queue is full; the message is dropped
    auto send(std::string_view instance, const wire::Envelope& envelope) -> bool;

    /// @brief Bytes sent and received so far.
    [[nodiscard]] auto byteCount() const -> std::uint64_t;

    /// @brief Closes every socket; what is queued is sent for a moment first.
    auto close() -> void;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockvane::detail
