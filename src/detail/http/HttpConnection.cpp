#include "hemlockvane/detail/http/HttpConnection.h"

#include "hemlockvane/detail/net/Address.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

struct HttpConnection::Impl {
    explicit Impl(asio::any_io_executor executor)
        : m_stream(std::move(executor))
    {
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::string m_host;
    bool m_isOpen = false;
    bool m_hasResponseBegun = false;
};

namespace {

auto toMessage(const HttpRequest& request, const std::string& host) -> http::request<http::string_body>
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.m_method);
    message.target(request.m_target);
    message.set(http::field::host, host);
    for (const auto& header : request.m_headers)
        message.set(header.m_name, header.m_value);
    message.body() = request.m_body;
    message.prepare_payload();
    return message;
}

auto toResponse(http::response<http::string_body>&& message) -> HttpResponse
{
    HttpResponse response;
    response.m_status = message.result_int();
    for (const auto& field : message)
        response.m_headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    response.m_body = std::move(message.body());
    return response;
}

} // namespace

HttpConnection::HttpConnection(asio::any_io_executor executor)
    : m_impl(std::make_unique<Impl>(std::move(executor)))
{
}

HttpConnection::~HttpConnection() = default;
HttpConnection::HttpConnection(HttpConnection&&) noexcept = default;
auto HttpConnection::operator=(HttpConnection&&) noexcept -> HttpConnection& = default;

auto HttpConnection::connect(std::string_view address, std::chrono::milliseconds timeout, FailureReason& reason)
    -> asio::awaitable<bool>
{
    const auto endpoint = parseAddress(address, reason);
    if (!endpoint)
        co_return false;
    beast::error_code error;
    m_impl->m_host = std::string(address);
    m_impl->m_stream.expires_after(timeout);
    co_await m_impl->m_stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        fail(reason, ErrorKind::NoCapacity, "cannot connect to " + m_impl->m_host + ": " + error.message());
        co_return false;
    }
    m_impl->m_stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    m_impl->m_isOpen = true;
    co_return true;
}

auto HttpConnection::exchange(const HttpRequest& request, std::chrono::milliseconds timeout,
    std::size_t maximumBodyBytes, FailureReason& reason) -> asio::awaitable<std::optional<HttpResponse>>
{
    if (!m_impl->m_isOpen) {
        fail(reason, ErrorKind::NoCapacity, "the connection is closed");
        co_return std::nullopt;
    }
    const auto message = toMessage(request, m_impl->m_host);
    http::response_parser<http::string_body> parser;
    parser.body_limit(maximumBodyBytes);
    parser.skip(request.m_method == "HEAD");
    beast::error_code error;
    m_impl->m_hasResponseBegun = false;
    m_impl->m_stream.expires_after(timeout);
    co_await http::async_write(m_impl->m_stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (!error)
        co_await http::async_read(
            m_impl->m_stream, m_impl->m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    m_impl->m_hasResponseBegun = parser.got_some();
    if (error) {
        close();
        fail(reason, ErrorKind::AnswerLost, "no complete answer from " + m_impl->m_host + ": " + error.message());
        co_return std::nullopt;
    }
    // Bytes after the response belong to no request, so the connection is not reused.
    const auto isReusable = parser.get().keep_alive() && m_impl->m_buffer.size() == 0;
    if (!isReusable)
        close();
    co_return toResponse(parser.release());
}

auto HttpConnection::isOpen() const -> bool { return m_impl->m_isOpen; }

auto HttpConnection::isStale() -> bool
{
    if (!m_impl->m_isOpen)
        return true;
    auto& socket = m_impl->m_stream.socket();
    beast::error_code error;
    char byte = 0;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

auto HttpConnection::hasResponseBegun() const -> bool { return m_impl->m_hasResponseBegun; }

auto HttpConnection::close() -> void
{
    m_impl->m_isOpen = false;
    m_impl->m_stream.close();
}

auto httpCall(std::string_view address, const HttpRequest& request, std::chrono::milliseconds timeout,
    FailureReason& reason) -> asio::awaitable<std::optional<HttpResponse>>
{
    constexpr std::size_t maximumBodyBytes = 256UL * 1024 * 1024;
    HttpConnection connection(co_await asio::this_coro::executor);
    if (!co_await connection.connect(address, timeout, reason))
        co_return std::nullopt;
    co_return co_await connection.exchange(request, timeout, maximumBodyBytes, reason);
}

} // namespace hemlockvane::detail
