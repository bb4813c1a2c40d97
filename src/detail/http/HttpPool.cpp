#include "hemlockvane/detail/http/HttpPool.h"

#include "hemlockvane/detail/http/HttpConnection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <unordered_map>
#include <vector>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maximumResponseBytes = 64UL * 1024 * 1024; // Well above the longest page of a store.
constexpr std::chrono::milliseconds connectTimeout { 400 }; // Connecting within a region takes a few milliseconds.

struct ServerConnections {
    std::vector<HttpConnection> m_idle;
    std::size_t m_inUse = 0;
    std::deque<std::shared_ptr<asio::steady_timer>> m_waiting; // Timers of waiting calls; cancelled to wake them.
};

} // namespace

struct HttpPool::Impl {
    Impl(asio::io_context& context, std::size_t maximumPerServer)
        : m_context(context)
        , m_maximumPerServer(maximumPerServer)
    {
    }

    auto waitForSlot(ServerConnections& server) -> asio::awaitable<void>;
    auto takeIdle(ServerConnections& server) -> std::optional<HttpConnection>;
    static auto release(ServerConnections& server) -> void;

    asio::io_context& m_context;
    std::size_t m_maximumPerServer;
    std::unordered_map<std::string, ServerConnections> m_servers;
};

auto HttpPool::Impl::waitForSlot(ServerConnections& server) -> asio::awaitable<void>
{
    while (server.m_inUse >= m_maximumPerServer) {
        auto wakeUp = std::make_shared<asio::steady_timer>(m_context, asio::steady_timer::time_point::max());
        server.m_waiting.push_back(wakeUp);
        boost::system::error_code error;
        co_await wakeUp->async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

auto HttpPool::Impl::takeIdle(ServerConnections& server) -> std::optional<HttpConnection>
{
    while (!server.m_idle.empty()) {
        auto connection = std::move(server.m_idle.back());
        server.m_idle.pop_back();
        if (!connection.isStale())
            return connection;
        connection.close();
    }
    return std::nullopt;
}

auto HttpPool::Impl::release(ServerConnections& server) -> void
{
    --server.m_inUse;
    if (server.m_waiting.empty())
        return;
    const auto wakeUp = std::move(server.m_waiting.front());
    server.m_waiting.pop_front();
    wakeUp->cancel();
}

HttpPool::HttpPool(asio::io_context& context, std::size_t maximumPerServer)
    : m_impl(std::make_unique<Impl>(context, maximumPerServer))
{
}

HttpPool::~HttpPool() = default;

auto HttpPool::call(std::string address, HttpRequest request, std::chrono::milliseconds timeout, FailureReason& reason)
    -> asio::awaitable<std::optional<HttpResponse>>
{
    auto& server = m_impl->m_servers[address];
    co_await m_impl->waitForSlot(server);
    ++server.m_inUse;
    auto connection = m_impl->takeIdle(server);
    auto isConnected = connection.has_value();
    if (!isConnected) {
        connection.emplace(m_impl->m_context.get_executor());
        isConnected = co_await connection->connect(address, std::min(timeout, connectTimeout), reason);
    }
    std::optional<HttpResponse> response;
    if (isConnected)
        response = co_await connection->exchange(request, timeout, maximumResponseBytes, reason);
    if (connection->isOpen())
        server.m_idle.push_back(std::move(*connection));
    Impl::release(server);
    co_return response;
}

} // namespace hemlockvane::detail
