#include "hemlockvane/detail/http/HttpServer.h"

#include "hemlockvane/detail/http/ConnectionTable.h"
#include "hemlockvane/detail/http/ErrorResponse.h"
#include "hemlockvane/detail/net/Address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <exception>
#include <set>

namespace hemlockvane::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using Stream = beast::tcp_stream;
using Parser = http::request_parser<http::string_body>;

// One accepted connection and whether a request is being handled on it.
struct Session {
    explicit Session(asio::ip::tcp::socket socket)
        : m_stream(std::move(socket))
    {
    }

    Stream m_stream;
    beast::flat_buffer m_buffer;
    ConnectionTable::Place m_place;
    bool m_isBusy = false;
    bool m_isTimedOut = false; // The request did not arrive in time.
    std::uint64_t m_reads = 0; // Number of the current read; a late timer of an earlier read is ignored.
};

constexpr std::size_t firstReadBytes = 1024;
constexpr std::size_t furtherReadBytes = 16384;
constexpr std::size_t sessionBytes = 4096; // Held by a connection while it receives a request, beside its bytes.
// Bytes on the wire for each byte of the body limit. A chunk of one byte takes six; the rest is for a client that also
// sends short extensions.
constexpr std::size_t maximumBytesPerBodyByte = 8;
constexpr std::chrono::milliseconds lingerTime { 1000 }; // Lets a client that is still sending read the refusal.
constexpr std::size_t maximumLingerBytes = 4UL * 1024 * 1024;
constexpr std::size_t maximumRefusals = 256; // Concurrent refusals of connections over the limit.
constexpr std::chrono::milliseconds acceptPause { 20 }; // After a failed accept, for example without descriptors left.

auto toRequest(http::request<http::string_body>&& message) -> HttpRequest
{
    HttpRequest request;
    request.m_method = std::string(message.method_string());
    request.m_target = std::string(message.target());
    for (const auto& field : message)
        request.m_headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    request.m_body = std::move(message.body());
    return request;
}

auto toMessage(HttpResponse&& response, unsigned version, bool keepAlive, bool isHead)
    -> http::response<http::string_body>
{
    http::response<http::string_body> message;
    message.version(version);
    message.result(response.m_status);
    for (const auto& header : response.m_headers)
        message.insert(header.m_name, header.m_value);
    message.keep_alive(keepAlive);
    const auto size = response.m_body.size();
    if (!isHead)
        message.body() = std::move(response.m_body);
    if (message.find(http::field::content_length) == message.end())
        message.content_length(size);
    return message;
}

auto readFailure(const beast::error_code& error) -> FailureReason
{
    if (error == http::error::body_limit)
        return { ErrorKind::TooLarge, "the body is larger than this entry accepts" };
    if (error == http::error::header_limit)
        return { ErrorKind::TooLarge, "the header is larger than this entry accepts" };
    if (error == asio::error::no_buffer_space)
        return { ErrorKind::NoCapacity, "this entry has no memory left for the request" };
    if (error == asio::error::operation_aborted)
        return { ErrorKind::DeadlinePassed, "the request did not arrive in time" };
    if (error == http::error::partial_message)
        return { ErrorKind::BadRequest, "the request is truncated" };
    return { ErrorKind::BadRequest, "malformed HTTP request: " + error.message() };
}

// True when no response is sent: the client disconnected, or the connection was closed while idle.
auto isDisconnect(const Session& session, const beast::error_code& error) -> bool
{
    return error == http::error::end_of_stream || error == asio::error::connection_reset
        || error == asio::error::broken_pipe || (error == asio::error::operation_aborted && !session.m_isTimedOut);
}

// Cancels the read of a request that takes too long. Unlike the stream's own timeout, this leaves the socket open for
// the error response.
auto limitRead(const std::shared_ptr<Session>& session, asio::steady_timer& timer, std::chrono::milliseconds limit)
    -> void
{
    const auto read = ++session->m_reads;
    timer.expires_after(limit);
    timer.async_wait([session, read](const beast::error_code& error) {
        if (error || session->m_reads != read)
            return;
        session->m_isTimedOut = true;
        session->m_stream.cancel();
    });
}

// Reads and discards the client's bytes for a short time before the socket is closed. Closing a socket with unread
// bytes resets the connection, and the client loses the response.
auto lingerAndClose(Session& session) -> asio::awaitable<void>
{
    beast::error_code error;
    session.m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    session.m_stream.expires_after(lingerTime);
    std::size_t discarded = 0;
    // Shared by all connections, as its content is not used.
    static thread_local std::array<char, 16384> scratch;
    while (!error && discarded < maximumLingerBytes)
        discarded += co_await session.m_stream.async_read_some(
            asio::buffer(scratch), asio::redirect_error(asio::use_awaitable, error));
    session.m_stream.close();
}

// Parses received bytes. What is left in the buffer is an incomplete header, trailer or size of a chunk, or belongs to
// the next request.
auto parse(Parser& parser, beast::flat_buffer& buffer, beast::error_code& error) -> void
{
    // One call may stop before the end of the buffer, at the end of the header or of a chunk.
    while (!error && !parser.is_done() && buffer.size() > 0)
        buffer.consume(parser.put(buffer.data(), error));
    if (error == http::error::need_more)
        error = {};
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    Impl(asio::io_context& context, HttpLimits limits, std::shared_ptr<ConnectionTable> table, HttpHandler handler)
        : m_context(context)
        , m_acceptor(context)
        , m_limits(limits)
        , m_table(std::move(table))
        , m_handler(std::move(handler))
    {
    }

    auto accept() -> asio::awaitable<void>;
    auto serve(std::shared_ptr<Session> session) -> asio::awaitable<void>;
    auto serveOne(const std::shared_ptr<Session>& session) -> asio::awaitable<bool>;
    auto refuse(std::shared_ptr<Session> session) -> asio::awaitable<void>;
    auto callHandler(HttpRequest request) -> asio::awaitable<HttpResponse>;
    auto write(Session& session, HttpResponse response, unsigned version, bool keepAlive, bool isHead)
        -> asio::awaitable<bool>;
    auto readRequest(const std::shared_ptr<Session>& session, Parser& parser, beast::error_code& error)
        -> asio::awaitable<void>;
    auto readFurther(Session& session, Parser& parser, beast::error_code& error) -> asio::awaitable<void>;

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    HttpLimits m_limits;
    std::shared_ptr<ConnectionTable> m_table;
    HttpHandler m_handler;
    std::set<std::shared_ptr<Session>> m_sessions;
    std::size_t m_refusals = 0; // Connections over the limit that are being refused now.
    bool m_isDraining = false;
};

auto HttpServer::Impl::accept() -> asio::awaitable<void>
{
    while (m_acceptor.is_open()) {
        beast::error_code error;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            asio::steady_timer pause(m_context, acceptPause);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        auto session = std::make_shared<Session>(std::move(socket));
        if (m_sessions.size() >= m_limits.m_maximumConnections && !m_table->makePlace()) {
            if (m_refusals < maximumRefusals)
                asio::co_spawn(m_context, refuse(session), asio::detached);
            continue;
        }
        m_sessions.insert(session);
        asio::co_spawn(m_context, serve(session), asio::detached);
    }
}

auto HttpServer::Impl::refuse(std::shared_ptr<Session> session) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    ++m_refusals;
    const FailureReason reason { ErrorKind::NoCapacity, "this entry has reached its connection limit" };
    co_await write(*session, errorResponse(reason), 11, false, false);
    co_await lingerAndClose(*session);
    --m_refusals;
}

auto HttpServer::Impl::serve(std::shared_ptr<Session> session) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    session->m_place = m_table->add([&stream = session->m_stream] { stream.close(); });
    while (co_await serveOne(session)) { }
    m_table->hold(session->m_place, 0);
    session->m_buffer = {};
    co_await lingerAndClose(*session);
    m_table->remove(session->m_place);
    m_sessions.erase(session);
}

auto HttpServer::Impl::readRequest(const std::shared_ptr<Session>& session, Parser& parser, beast::error_code& error)
    -> asio::awaitable<void>
{
    auto& stream = session->m_stream;
    if (session->m_buffer.size() == 0) {
        stream.expires_after(m_limits.m_idleTimeout);
        const auto read = co_await stream.async_read_some(
            session->m_buffer.prepare(firstReadBytes), asio::redirect_error(asio::use_awaitable, error));
        session->m_buffer.commit(read);
        if (error) {
            error = error == asio::error::eof ? http::error::end_of_stream : error;
            error = error == beast::error::timeout ? http::error::end_of_stream : error;
            co_return;
        }
    }
    session->m_isBusy = true;
    m_table->enter(session->m_place, ingress::ConnectionPhase::Receiving);
    stream.expires_never();
    asio::steady_timer timer(m_context);
    limitRead(session, timer, m_limits.m_readTimeout);
    co_await readFurther(*session, parser, error);
    ++session->m_reads;
}

// Reads until the request is complete. Beside the body, a request holds at most the limit of its header: a trailer
// field or a chunk extension without end is not parsed before it is complete.
auto HttpServer::Impl::readFurther(Session& session, Parser& parser, beast::error_code& error) -> asio::awaitable<void>
{
    const auto maximumReceived
        = 2 * m_limits.m_maximumHeaderBytes + maximumBytesPerBodyByte * m_limits.m_maximumBodyBytes;
    auto received = session.m_buffer.size();
    parse(parser, session.m_buffer, error);
    while (!error && !parser.is_done()) {
        if (session.m_buffer.size() > m_limits.m_maximumHeaderBytes)
            error = http::error::header_limit;
        else if (received > maximumReceived)
            error = http::error::body_limit;
        else if (!m_table->hold(session.m_place, sessionBytes + session.m_buffer.size() + parser.get().body().size()))
            error = asio::error::no_buffer_space;
        if (error)
            co_return;
        const auto bytes = session.m_buffer.prepare(furtherReadBytes);
        const auto read
            = co_await session.m_stream.async_read_some(bytes, asio::redirect_error(asio::use_awaitable, error));
        session.m_buffer.commit(read);
        received += read;
        if (error == asio::error::eof) {
            error = {};
            parser.put_eof(error);
        } else if (!error) {
            parse(parser, session.m_buffer, error);
        }
    }
}

auto HttpServer::Impl::callHandler(HttpRequest request) -> asio::awaitable<HttpResponse>
{
    try {
        co_return co_await m_handler(std::move(request));
    } catch (const std::exception& exception) {
        co_return errorResponse({ ErrorKind::Internal, exception.what() });
    }
}

auto HttpServer::Impl::serveOne(const std::shared_ptr<Session>& session) -> asio::awaitable<bool>
{
    Parser parser;
    parser.eager(true);
    parser.header_limit(static_cast<std::uint32_t>(m_limits.m_maximumHeaderBytes));
    parser.body_limit(m_limits.m_maximumBodyBytes);
    beast::error_code error;
    session->m_isBusy = false;
    m_table->hold(session->m_place, 0);
    m_table->enter(session->m_place, ingress::ConnectionPhase::Idle);
    if (session->m_buffer.size() == 0)
        session->m_buffer.shrink_to_fit();
    co_await readRequest(session, parser, error);
    if (error && isDisconnect(*session, error))
        co_return false;
    if (error) {
        co_await write(*session, errorResponse(readFailure(error)), 11, false, false);
        co_return false;
    }
    const auto version = parser.get().version();
    const auto isHead = parser.get().method() == http::verb::head;
    const auto clientKeepsAlive = parser.get().keep_alive();
    m_table->enter(session->m_place, ingress::ConnectionPhase::Answering);
    auto response = co_await callHandler(toRequest(parser.release()));
    m_table->hold(session->m_place, sessionBytes + response.m_body.size());
    const auto keepAlive = clientKeepsAlive && !m_isDraining;
    co_return co_await write(*session, std::move(response), version, keepAlive, isHead) && keepAlive;
}

auto HttpServer::Impl::write(Session& session, HttpResponse response, unsigned version, bool keepAlive, bool isHead)
    -> asio::awaitable<bool>
{
    auto message = toMessage(std::move(response), version, keepAlive, isHead);
    http::response_serializer<http::string_body> serializer(message);
    serializer.split(isHead);
    session.m_stream.expires_after(m_limits.m_writeTimeout);
    beast::error_code error;
    if (isHead)
        co_await http::async_write_header(
            session.m_stream, serializer, asio::redirect_error(asio::use_awaitable, error));
    else
        co_await http::async_write(session.m_stream, serializer, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

HttpServer::HttpServer(asio::io_context& context, HttpLimits limits, HttpHandler handler)
    : HttpServer(context, limits, std::make_shared<ConnectionTable>(limits.m_maximumMemoryBytes), std::move(handler))
{
}

HttpServer::HttpServer(
    asio::io_context& context, HttpLimits limits, std::shared_ptr<ConnectionTable> table, HttpHandler handler)
    : m_impl(std::make_shared<Impl>(context, limits, std::move(table), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    beast::error_code error;
    m_impl->m_acceptor.close(error);
}

auto HttpServer::listen(std::string_view address, FailureReason& reason) -> std::optional<std::uint16_t>
{
    const auto endpoint = parseAddress(address, reason);
    if (!endpoint)
        return std::nullopt;
    beast::error_code error;
    auto& acceptor = m_impl->m_acceptor;
    acceptor.open(endpoint->protocol(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return fail(reason, ErrorKind::Internal, "cannot listen on " + std::string(address) + ": " + error.message());
    asio::co_spawn(
        m_impl->m_context, [impl = m_impl]() { return impl->accept(); }, asio::detached);
    return acceptor.local_endpoint().port();
}

auto HttpServer::disableKeepAlive() -> void { m_impl->m_isDraining = true; }

auto HttpServer::drain() -> void
{
    beast::error_code error;
    m_impl->m_isDraining = true;
    m_impl->m_acceptor.close(error);
    for (const auto& session : m_impl->m_sessions) {
        if (!session->m_isBusy)
            session->m_stream.cancel();
    }
}

auto HttpServer::connectionCount() const -> std::size_t { return m_impl->m_sessions.size(); }

} // namespace hemlockvane::detail
