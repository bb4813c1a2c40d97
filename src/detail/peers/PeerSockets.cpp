#include "hemlockvane/detail/peers/PeerSockets.h"

#include "hemlockvane/peers.pb.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include <map>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr int heartbeatMillis = 1000;
constexpr int heartbeatTimeoutMillis = 3000;
constexpr int reconnectMillis = 100;
constexpr int maximumReconnectMillis = 1000;
constexpr int maximumQueuedMessages = 10000;
constexpr int lingerMillis = 200;
constexpr int maximumMessageBytes = 64 * 1024 * 1024;

} // namespace

struct PeerSockets::Impl : std::enable_shared_from_this<PeerSockets::Impl> {
    Impl(asio::io_context& context, PeerMessageHandler handler)
        : m_zmq(1)
        , m_receiver(m_zmq, zmq::socket_type::router)
        , m_descriptor(context)
        , m_handler(std::move(handler))
    {
    }

    ~Impl() { close(); }
    Impl(const Impl&) = delete;
    auto operator=(const Impl&) -> Impl& = delete;

    auto waitReadable() -> void;
    auto receiveAll() -> void;
    auto close() noexcept -> void;

    zmq::context_t m_zmq;
    zmq::socket_t m_receiver;
    asio::posix::stream_descriptor m_descriptor;
    PeerMessageHandler m_handler;
    std::map<std::string, zmq::socket_t, std::less<>> m_senders;
    std::uint64_t m_bytes = 0;
    bool m_isClosed = false;
};

auto PeerSockets::Impl::waitReadable() -> void
{
    m_descriptor.async_wait(
        asio::posix::descriptor_base::wait_read, [self = shared_from_this()](const boost::system::error_code& error) {
            if (error || self->m_isClosed)
                return;
            self->receiveAll();
            if (!self->m_isClosed)
                self->waitReadable();
        });
}

auto PeerSockets::Impl::receiveAll() -> void
{
    zmq::message_t identity;
    zmq::message_t payload;
    while (!m_isClosed && m_receiver.recv(identity, zmq::recv_flags::dontwait)) {
        if (!m_receiver.recv(payload, zmq::recv_flags::dontwait))
            return;
        m_bytes += payload.size();
        wire::Envelope envelope;
        if (envelope.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
            m_handler(envelope);
    }
}

PeerSockets::PeerSockets(asio::io_context& context, PeerMessageHandler handler)
    : m_impl(std::make_shared<Impl>(context, std::move(handler)))
{
}

PeerSockets::~PeerSockets() { close(); }

auto PeerSockets::listen(std::string_view endpoint, FailureReason& reason) -> std::optional<std::string>
{
    auto& receiver = m_impl->m_receiver;
    receiver.set(zmq::sockopt::linger, 0);
    receiver.set(zmq::sockopt::rcvhwm, maximumQueuedMessages);
    receiver.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(maximumMessageBytes));
    receiver.set(zmq::sockopt::heartbeat_ivl, heartbeatMillis);
    receiver.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMillis);
    try {
        receiver.bind(std::string(endpoint));
    } catch (const zmq::error_t& error) {
        return fail(reason, ErrorKind::BadRequest, "cannot listen on " + std::string(endpoint) + ": " + error.what());
    }
    m_impl->m_descriptor.assign(receiver.get(zmq::sockopt::fd));
    m_impl->receiveAll();
    m_impl->waitReadable();
    return receiver.get(zmq::sockopt::last_endpoint);
}

auto PeerSockets::connect(std::string_view instance, std::string_view endpoint) -> void
{
    if (m_impl->m_isClosed || m_impl->m_senders.contains(instance))
        return;
    zmq::socket_t sender(m_impl->m_zmq, zmq::socket_type::dealer);
    sender.set(zmq::sockopt::linger, lingerMillis);
    sender.set(zmq::sockopt::sndhwm, maximumQueuedMessages);
    sender.set(zmq::sockopt::reconnect_ivl, reconnectMillis);
    sender.set(zmq::sockopt::reconnect_ivl_max, maximumReconnectMillis);
    sender.set(zmq::sockopt::heartbeat_ivl, heartbeatMillis);
    sender.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMillis);
    try {
        sender.connect(std::string(endpoint));
    } catch (const zmq::error_t&) {
        return;
    }
    m_impl->m_senders.emplace(std::string(instance), std::move(sender));
}

auto PeerSockets::disconnect(std::string_view instance) -> void
{
    const auto found = m_impl->m_senders.find(instance);
    if (found != m_impl->m_senders.end())
        m_impl->m_senders.erase(found);
}

auto PeerSockets::send(std::string_view instance, const wire::Envelope& envelope) -> bool
{
    const auto found = m_impl->m_senders.find(instance);
    if (found == m_impl->m_senders.end())
        return false;
    zmq::message_t payload(envelope.ByteSizeLong());
    envelope.SerializeToArray(payload.data(), static_cast<int>(payload.size()));
    m_impl->m_bytes += payload.size();
    return found->second.send(payload, zmq::send_flags::dontwait).has_value();
}

auto PeerSockets::byteCount() const -> std::uint64_t { return m_impl->m_bytes; }

auto PeerSockets::Impl::close() noexcept -> void
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    boost::system::error_code error;
    if (m_descriptor.is_open()) {
        m_descriptor.cancel(error);
        m_descriptor.release();
    }
    m_senders.clear();
    m_receiver.close();
}

auto PeerSockets::close() -> void { m_impl->close(); }

} // namespace hemlockvane::detail
