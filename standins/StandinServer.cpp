#include "StandinServer.h"

#include "hemlockvane/detail/net/Address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <csignal>
#include <cstdio>
#include <set>

namespace hemlockvane::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t maximumBodyBytes = 16UL * 1024 * 1024;
constexpr std::size_t missingBytes = 100; // Declared but not sent when a response is truncated.

struct Session {
    explicit Session(asio::ip::tcp::socket socket)
        : m_stream(std::move(socket))
    {
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    bool m_isSilent = false;
};

auto toRequest(http::request<http::string_body>&& message) -> detail::HttpRequest
{
    detail::HttpRequest request;
    request.m_method = std::string(message.method_string());
    request.m_target = std::string(message.target());
    for (const auto& field : message)
        request.m_headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    request.m_body = std::move(message.body());
    return request;
}

auto toMessage(const StandinAnswer& answer) -> http::response<http::string_body>
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(answer.m_response.m_status);
    for (const auto& header : answer.m_response.m_headers)
        message.set(header.m_name, header.m_value);
    message.body() = answer.m_response.m_body;
    message.keep_alive(true);
    const auto missing = answer.m_delivery == Delivery::Truncated ? missingBytes : 0;
    message.content_length(message.body().size() + missing);
    return message;
}

} // namespace

struct StandinServer::Impl : std::enable_shared_from_this<StandinServer::Impl> {
    Impl(asio::io_context& context, StandinHandler handler)
        : m_context(context)
        , m_acceptor(context)
        , m_handler(std::move(handler))
    {
    }

    auto accept() -> asio::awaitable<void>;
    auto serve(std::shared_ptr<Session> session) -> asio::awaitable<void>;
    auto serveOne(Session& session) -> asio::awaitable<bool>;
    static auto send(Session& session, const StandinAnswer& answer) -> asio::awaitable<bool>;

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    StandinHandler m_handler;
    std::set<std::shared_ptr<Session>> m_sessions;
};

auto StandinServer::Impl::accept() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    while (m_acceptor.is_open()) {
        beast::error_code error;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
            continue;
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        auto session = std::make_shared<Session>(std::move(socket));
        m_sessions.insert(session);
        asio::co_spawn(m_context, serve(session), asio::detached);
    }
}

auto StandinServer::Impl::serve(std::shared_ptr<Session> session) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    while (co_await serveOne(*session) && !session->m_isSilent) { }
    if (session->m_isSilent)
        co_return; // The session stays in m_sessions, which keeps its connection open.
    session->m_stream.close();
    m_sessions.erase(session);
}

auto StandinServer::Impl::serveOne(Session& session) -> asio::awaitable<bool>
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(maximumBodyBytes);
    beast::error_code error;
    co_await http::async_read(
        session.m_stream, session.m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error || session.m_isSilent)
        co_return false;
    const auto keepAlive = parser.get().keep_alive();
    const auto answer = co_await m_handler(toRequest(parser.release()));
    if (session.m_isSilent)
        co_return false;
    co_return co_await send(session, answer) && keepAlive;
}

auto StandinServer::Impl::send(Session& session, const StandinAnswer& answer) -> asio::awaitable<bool>
{
    beast::error_code error;
    if (answer.m_delivery == Delivery::None)
        co_return false;
    if (answer.m_delivery == Delivery::Garbled) {
        const std::string noise = "HTTQ/9 what\r\nContent-Length: none\r\n\r\n";
        co_await asio::async_write(
            session.m_stream, asio::buffer(noise), asio::redirect_error(asio::use_awaitable, error));
        co_return false;
    }
    const auto message = toMessage(answer);
    co_await http::async_write(session.m_stream, message, asio::redirect_error(asio::use_awaitable, error));
    co_return !error && answer.m_delivery == Delivery::Complete;
}

StandinServer::StandinServer(asio::io_context& context, StandinHandler handler)
    : m_impl(std::make_shared<Impl>(context, std::move(handler)))
{
}

StandinServer::~StandinServer()
{
    beast::error_code error;
    m_impl->m_acceptor.close(error);
}

auto StandinServer::listen(const std::string& address, FailureReason& reason) -> std::optional<std::string>
{
    const auto endpoint = detail::parseAddress(address, reason);
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
        return fail(reason, ErrorKind::Internal, "cannot listen on " + address + ": " + error.message());
    asio::co_spawn(
        m_impl->m_context, [impl = m_impl]() { return impl->accept(); }, asio::detached);
    return endpoint->address().to_string() + ":" + std::to_string(acceptor.local_endpoint().port());
}

auto StandinServer::silenceOpenConnections() -> void
{
    for (const auto& session : m_impl->m_sessions) {
        session->m_isSilent = true;
        session->m_stream.cancel();
    }
}

auto StandinServer::closeAll() -> void
{
    beast::error_code error;
    m_impl->m_acceptor.close(error);
    for (const auto& session : m_impl->m_sessions)
        session->m_stream.close();
}

auto runUntilStopped(asio::io_context& context, StandinServer& server, const std::string& address) -> int
{
    FailureReason reason;
    const auto boundAddress = server.listen(address, reason);
    if (!boundAddress) {
        std::fprintf(stderr, "%s\n", reason.m_text.c_str());
        return 1;
    }
    std::printf("listening on %s\n", boundAddress->c_str());
    std::fflush(stdout);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const beast::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace hemlockvane::standins
