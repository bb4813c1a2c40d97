#include "hemlockvane/detail/http/HttpConnection.h"

#include "hemlockvane/detail/http/EncodeRequest.h"
#include "hemlockvane/detail/http/ExchangeDeadline.h"
#include "hemlockvane/detail/http/ExchangeDeadlines.h"
#include "hemlockvane/detail/net/Address.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace hemlockvane::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t firstReadBytes = 4096; // Enough for nearly all answers of executors.
constexpr std::size_t furtherReadBytes = 65536;
constexpr std::size_t maximumUnparsedBytes = 16384; // A header, a trailer or the size line of a chunk.
constexpr std::size_t keptBytes = 16384; // Larger buffers are not kept for the next exchange.

auto contextOf(const asio::any_io_executor& executor) -> asio::execution_context&
{
    return asio::query(executor, asio::execution::context);
}

// Parses a response into an HttpResponse, without a container of fields between them.
class ResponseParser final : public http::basic_parser<false> {
public:
    explicit ResponseParser(ResponseHeaders headers)
        : m_headers(headers)
    {
    }

    auto release() -> HttpResponse { return std::move(m_response); }

private:
    auto on_request_impl(http::verb, beast::string_view, beast::string_view, int, beast::error_code&) -> void override
    {
    }

    auto on_response_impl(int code, beast::string_view, int, beast::error_code&) -> void override
    {
        m_response.m_status = static_cast<unsigned>(code);
    }

    auto on_field_impl(http::field, beast::string_view name, beast::string_view value, beast::error_code&)
        -> void override
    {
        if (m_headers == ResponseHeaders::Kept)
            m_response.m_headers.push_back({ std::string(name), std::string(value) });
    }

    auto on_header_impl(beast::error_code&) -> void override { }

    auto on_body_init_impl(const boost::optional<std::uint64_t>& length, beast::error_code&) -> void override
    {
        if (length)
            m_response.m_body.reserve(std::min<std::uint64_t>(*length, furtherReadBytes));
    }

    auto on_body_impl(beast::string_view body, beast::error_code&) -> std::size_t override
    {
        m_response.m_body.append(body);
        return body.size();
    }

    auto on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code&) -> void override { }

    auto on_chunk_body_impl(std::uint64_t, beast::string_view body, beast::error_code&) -> std::size_t override
    {
        m_response.m_body.append(body);
        return body.size();
    }

    auto on_finish_impl(beast::error_code&) -> void override { }

    ResponseHeaders m_headers;
    HttpResponse m_response;
};

// Parses received bytes, or their end.
auto parse(ResponseParser& parser, beast::flat_buffer& buffer, beast::error_code& error) -> void
{
    if (error == asio::error::eof && parser.got_some()) {
        error = {};
        parser.put_eof(error);
        return;
    }
    // One call may stop before the end of the buffer, at the end of the header or of a chunk.
    while (!error && !parser.is_done() && buffer.size() > 0)
        buffer.consume(parser.put(buffer.data(), error));
    if (error == http::error::need_more)
        error = {};
}

} // namespace

struct HttpConnection::Impl {
    Impl(const asio::any_io_executor& executor, ResponseHeaders headers)
        : m_deadlines(asio::use_service<ExchangeDeadlines>(contextOf(executor)))
        , m_socket(executor)
        , m_headers(headers)
    {
    }

    ExchangeDeadlines& m_deadlines;
    asio::ip::tcp::socket m_socket;
    ResponseHeaders m_headers;
    beast::flat_buffer m_buffer;
    std::string m_request; // Encoded.
    std::string m_host;
    bool m_isOpen = false;
    bool m_hasResponseBegun = false;
};

HttpConnection::HttpConnection(const asio::any_io_executor& executor, ResponseHeaders headers)
    : m_impl(std::make_unique<Impl>(executor, headers))
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
    {
        const ExchangeDeadline deadline(m_impl->m_deadlines, m_impl->m_socket, timeout);
        co_await m_impl->m_socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (deadline.hasExpired())
            error = beast::error::timeout;
    }
    if (error) {
        close();
        fail(reason, ErrorKind::NoCapacity, "cannot connect to " + m_impl->m_host + ": " + error.message());
        co_return false;
    }
    m_impl->m_socket.set_option(asio::ip::tcp::no_delay(true), error);
    m_impl->m_socket.non_blocking(true, error);
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
    auto& impl = *m_impl;
    ResponseParser parser(impl.m_headers);
    parser.eager(true);
    parser.body_limit(maximumBodyBytes);
    parser.skip(request.m_method == "HEAD");
    beast::error_code error;
    impl.m_hasResponseBegun = false;
    encodeRequest(request, impl.m_host, impl.m_request);
    const ExchangeDeadline deadline(impl.m_deadlines, impl.m_socket, timeout);
    // The socket's buffer nearly always has room for the whole request.
    auto sent = impl.m_socket.write_some(asio::buffer(impl.m_request), error);
    if (error == asio::error::would_block)
        error = {};
    if (!error && sent < impl.m_request.size()) {
        const auto rest = asio::buffer(impl.m_request) + sent;
        co_await asio::async_write(impl.m_socket, rest, asio::redirect_error(asio::use_awaitable, error));
    }
    auto room = firstReadBytes;
    while (!error && !parser.is_done()) {
        const auto bytes = impl.m_buffer.prepare(room);
        const auto received
            = co_await impl.m_socket.async_read_some(bytes, asio::redirect_error(asio::use_awaitable, error));
        impl.m_buffer.commit(received);
        if (received == room)
            room = furtherReadBytes;
        parse(parser, impl.m_buffer, error);
        if (!error && !parser.is_done() && impl.m_buffer.size() > maximumUnparsedBytes)
            error = http::error::header_limit;
    }
    impl.m_hasResponseBegun = parser.got_some();
    if (error) {
        close();
        if (deadline.hasExpired())
            error = beast::error::timeout;
        fail(reason, ErrorKind::AnswerLost, "no complete answer from " + impl.m_host + ": " + error.message());
        co_return std::nullopt;
    }
    // Bytes after the response belong to no request, so the connection is not reused.
    const auto isReusable = parser.keep_alive() && impl.m_buffer.size() == 0 && !deadline.hasExpired();
    if (!isReusable)
        close();
    if (impl.m_buffer.capacity() > keptBytes)
        impl.m_buffer.shrink_to_fit();
    if (impl.m_request.capacity() > keptBytes)
        impl.m_request = {};
    co_return parser.release();
}

auto HttpConnection::isOpen() const -> bool { return m_impl->m_isOpen; }

auto HttpConnection::isStale() -> bool
{
    if (!m_impl->m_isOpen)
        return true;
    beast::error_code error;
    char byte = 0;
    m_impl->m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

auto HttpConnection::hasResponseBegun() const -> bool { return m_impl->m_hasResponseBegun; }

auto HttpConnection::close() -> void
{
    m_impl->m_isOpen = false;
    beast::error_code error;
    m_impl->m_socket.close(error);
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
