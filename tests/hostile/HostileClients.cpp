#include "HostileClients.h"

#include "hemlockvane/detail/net/Address.h"
#include "hemlockvane/errors/FailureReason.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <utility>
#include <vector>

namespace hemlockvane::hostile {

namespace asio = boost::asio;

namespace {

constexpr std::size_t blockBytes = 16384; // Sent at a time.
constexpr unsigned long long announcedBytes = 1ULL << 40U;

auto repeat(std::string_view text, std::size_t bytes) -> std::string
{
    std::string block;
    while (block.size() + text.size() <= bytes)
        block += text;
    return block;
}

auto beginOf(HostileKind kind, const std::string& target, const std::string& path) -> std::string
{
    const auto begin = "POST " + path + " HTTP/1.1\r\nHost: " + target + "\r\nContent-Type: application/json\r\n";
    const auto chunked = begin + "Transfer-Encoding: chunked\r\n\r\n";
    switch (kind) {
    case HostileKind::EndlessTrailer:
        return chunked + "5\r\nhello\r\n0\r\nX-Field: ";
    case HostileKind::ManyTrailers:
        return chunked + "5\r\nhello\r\n0\r\n";
    case HostileKind::ChunkExtension:
        return chunked + "5;x=";
    case HostileKind::EndlessHeader:
        return begin + "X-Field: ";
    case HostileKind::AnnouncedBody:
        return begin + "Content-Length: " + std::to_string(announcedBytes) + "\r\n\r\n";
    case HostileKind::SentBody:
        return chunked + "40000000\r\n";
    case HostileKind::LargeChunks:
    case HostileKind::SmallChunks:
        return chunked;
    }
    return chunked;
}

auto blockOf(HostileKind kind) -> std::string
{
    switch (kind) {
    case HostileKind::ManyTrailers:
        return repeat("A: b\r\n", blockBytes);
    case HostileKind::SmallChunks:
        return repeat("1\r\nx\r\n", blockBytes);
    case HostileKind::LargeChunks: {
        std::array<char, 32> size {};
        std::snprintf(size.data(), size.size(), "%zx\r\n", blockBytes);
        return size.data() + std::string(blockBytes, 'x') + "\r\n";
    }
    default:
        return std::string(blockBytes, 'x');
    }
}

// Bytes of a block that count towards what a client sends: of chunks only the data.
auto countedBytes(HostileKind kind, const std::string& block) -> std::size_t
{
    constexpr std::size_t smallChunkBytes = 6;
    if (kind == HostileKind::SmallChunks)
        return block.size() / smallChunkBytes;
    return kind == HostileKind::LargeChunks ? blockBytes : block.size();
}

} // namespace

struct HostileClients::Impl : std::enable_shared_from_this<HostileClients::Impl> {
    explicit Impl(asio::io_context& context)
        : m_context(context)
    {
    }

    auto send(asio::ip::tcp::socket& socket) -> asio::awaitable<bool>
    {
        boost::system::error_code error;
        const auto begin = beginOf(m_kind, m_target, m_path);
        const auto block = blockOf(m_kind);
        const auto counted = countedBytes(m_kind, block);
        co_await asio::async_write(socket, asio::buffer(begin), asio::redirect_error(asio::use_awaitable, error));
        for (std::size_t sent = 0; !error && sent + counted <= m_bytes; sent += counted)
            co_await asio::async_write(socket, asio::buffer(block), asio::redirect_error(asio::use_awaitable, error));
        co_return !error;
    }

    auto run(std::size_t index) -> asio::awaitable<void>
    {
        const auto self = shared_from_this();
        auto& socket = *m_sockets[index];
        FailureReason reason;
        boost::system::error_code error;
        const auto endpoint = parseAddressOf(reason);
        if (endpoint)
            co_await socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (endpoint && !error)
            co_await send(socket);
        --m_sending;
        std::array<char, blockBytes> answer {};
        while (!error)
            co_await socket.async_read_some(asio::buffer(answer), asio::redirect_error(asio::use_awaitable, error));
        if (!m_isClosed)
            ++m_closedByServer;
    }

    auto parseAddressOf(FailureReason& reason) const -> std::optional<asio::ip::tcp::endpoint>
    {
        return detail::parseAddress(m_target, reason);
    }

    asio::io_context& m_context;
    HostileKind m_kind = HostileKind::EndlessTrailer;
    std::string m_target;
    std::string m_path;
    std::size_t m_bytes = 0;
    std::size_t m_sending = 0;
    std::size_t m_closedByServer = 0;
    bool m_isClosed = false;
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> m_sockets;
};

HostileClients::HostileClients(
    asio::io_context& context, HostileKind kind, std::string target, std::string path, std::size_t bytes)
    : m_impl(std::make_shared<Impl>(context))
{
    m_impl->m_kind = kind;
    m_impl->m_target = std::move(target);
    m_impl->m_path = std::move(path);
    m_impl->m_bytes = bytes;
}

HostileClients::~HostileClients() { close(); }

auto HostileClients::start(std::size_t clients) -> void
{
    for (std::size_t i = 0; i < clients; ++i) {
        m_impl->m_sockets.push_back(std::make_unique<asio::ip::tcp::socket>(m_impl->m_context));
        ++m_impl->m_sending;
        asio::co_spawn(m_impl->m_context, m_impl->run(m_impl->m_sockets.size() - 1), asio::detached);
    }
}

auto HostileClients::close() -> void
{
    m_impl->m_isClosed = true;
    boost::system::error_code error;
    for (const auto& socket : m_impl->m_sockets)
        socket->close(error);
}

auto HostileClients::sending() const -> std::size_t { return m_impl->m_sending; }

auto HostileClients::closedByServer() const -> std::size_t { return m_impl->m_closedByServer; }

} // namespace hemlockvane::hostile
