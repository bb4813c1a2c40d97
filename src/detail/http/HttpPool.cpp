#include "hemlockvane/detail/http/HttpPool.h"

#include "hemlockvane/detail/http/HttpConnection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <iterator>
#include <list>
#include <unordered_map>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds connectTimeout { 400 }; // Connecting within a region takes a few milliseconds.

struct ServerConnections;

using TimePoint = std::chrono::steady_clock::time_point;

struct PooledConnection {
    std::shared_ptr<ServerConnections> m_server;
    HttpConnection m_connection;
    TimePoint m_idleSince;
};

using Connections = std::list<PooledConnection>;

struct ServerConnections {
    std::string m_address;
    std::deque<Connections::iterator> m_idle; // The one used last at the end.
    std::size_t m_inUse = 0; // Slots of calls that have one, also of those that are about to be woken.
    std::size_t m_calls = 0; // In progress, including those that wait.
    std::deque<std::shared_ptr<asio::steady_timer>> m_waiting; // Timers of waiting calls; cancelled to wake them.
};

using SharedServer = std::shared_ptr<ServerConnections>;

} // namespace

struct HttpPool::Impl {
    Impl(asio::io_context& context, HttpPoolLimits limits)
        : m_context(context)
        , m_limits(limits)
    {
    }

    auto serverAt(const std::string& address) -> SharedServer;
    auto waitForSlot(SharedServer server) -> asio::awaitable<void>;
    auto takeIdle(ServerConnections& server) -> std::optional<Connections::iterator>;
    auto addNew(const SharedServer& server) -> Connections::iterator;
    auto closeOldest() -> void;
    auto closeUnneeded() -> void;
    auto release(Connections::iterator connection) -> void;
    auto forgetIfUnused(const ServerConnections& server) -> void;

    asio::io_context& m_context;
    HttpPoolLimits m_limits;
    std::unordered_map<std::string, SharedServer> m_servers; // Those with idle connections or calls in progress.
    Connections m_idle; // Of all servers, the longest idle first.
    Connections m_inUse;
};

auto HttpPool::Impl::serverAt(const std::string& address) -> SharedServer
{
    auto& server = m_servers[address];
    if (!server) {
        server = std::make_shared<ServerConnections>();
        server->m_address = address;
    }
    return server;
}

// Whoever cancels the timer leaves its own slot to this call, so that no later call takes it meanwhile.
auto HttpPool::Impl::waitForSlot(SharedServer server) -> asio::awaitable<void>
{
    auto wakeUp = std::make_shared<asio::steady_timer>(m_context, asio::steady_timer::time_point::max());
    server->m_waiting.push_back(wakeUp);
    boost::system::error_code error;
    co_await wakeUp->async_wait(asio::redirect_error(asio::use_awaitable, error));
}

auto HttpPool::Impl::takeIdle(ServerConnections& server) -> std::optional<Connections::iterator>
{
    while (!server.m_idle.empty()) {
        const auto last = server.m_idle.back();
        server.m_idle.pop_back();
        if (!last->m_connection.isStale()) {
            m_inUse.splice(m_inUse.end(), m_idle, last);
            return last;
        }
        m_idle.erase(last);
    }
    return std::nullopt;
}

auto HttpPool::Impl::addNew(const SharedServer& server) -> Connections::iterator
{
    m_inUse.push_back({ server, HttpConnection(m_context.get_executor(), ResponseHeaders::Dropped), {} });
    return std::prev(m_inUse.end());
}

auto HttpPool::Impl::closeOldest() -> void
{
    const auto server = m_idle.front().m_server;
    m_idle.front().m_connection.close();
    // A server's connections are in the same order as those of all servers.
    server->m_idle.pop_front();
    m_idle.pop_front();
    forgetIfUnused(*server);
}

// Closes connections that were idle for too long, and as many more as the limit of all connections asks for.
auto HttpPool::Impl::closeUnneeded() -> void
{
    const auto oldestKept = std::chrono::steady_clock::now() - m_limits.m_idleTimeout;
    while (!m_idle.empty()
        && (m_idle.front().m_idleSince < oldestKept || m_idle.size() + m_inUse.size() > m_limits.m_total))
        closeOldest();
}

auto HttpPool::Impl::release(Connections::iterator connection) -> void
{
    const auto server = connection->m_server;
    if (connection->m_connection.isOpen()) {
        connection->m_idleSince = std::chrono::steady_clock::now();
        m_idle.splice(m_idle.end(), m_inUse, connection);
        server->m_idle.push_back(connection);
    } else {
        m_inUse.erase(connection);
    }
    if (server->m_waiting.empty()) {
        --server->m_inUse;
        return;
    }
    const auto wakeUp = std::move(server->m_waiting.front());
    server->m_waiting.pop_front();
    wakeUp->cancel();
}

auto HttpPool::Impl::forgetIfUnused(const ServerConnections& server) -> void
{
    if (server.m_calls == 0 && server.m_idle.empty())
        m_servers.erase(server.m_address);
}

HttpPool::HttpPool(asio::io_context& context, HttpPoolLimits limits)
    : m_impl(std::make_unique<Impl>(context, limits))
{
}

HttpPool::~HttpPool() = default;

auto HttpPool::openConnections() const -> std::size_t { return m_impl->m_idle.size() + m_impl->m_inUse.size(); }

auto HttpPool::call(std::string address, HttpRequest request, std::chrono::milliseconds timeout, FailureReason& reason)
    -> asio::awaitable<std::optional<HttpResponse>>
{
    return call(std::move(address), std::move(request), timeout, {}, reason);
}

auto HttpPool::call(std::string address, HttpRequest request, std::chrono::milliseconds timeout,
    std::function<bool()> mayBeSent, FailureReason& reason) -> asio::awaitable<std::optional<HttpResponse>>
{
    std::function<HttpRequest(bool)> makeRequest
        = [request = std::move(request)](bool) mutable { return std::move(request); };
    return exchange(std::move(address), std::move(makeRequest), timeout, std::move(mayBeSent), reason);
}

auto HttpPool::call(std::string address, std::function<HttpRequest(bool)> makeRequest,
    std::chrono::milliseconds timeout, FailureReason& reason) -> asio::awaitable<std::optional<HttpResponse>>
{
    return exchange(std::move(address), std::move(makeRequest), timeout, {}, reason);
}

auto HttpPool::exchange(std::string address, std::function<HttpRequest(bool)> makeRequest,
    std::chrono::milliseconds timeout, std::function<bool()> mayBeSent, FailureReason& reason)
    -> asio::awaitable<std::optional<HttpResponse>>
{
    const auto server = m_impl->serverAt(address);
    ++server->m_calls;
    if (server->m_inUse < m_impl->m_limits.m_perServer)
        ++server->m_inUse;
    else
        co_await m_impl->waitForSlot(server);
    const auto idle = m_impl->takeIdle(*server);
    const auto pooled = idle ? *idle : m_impl->addNew(server);
    auto& connection = pooled->m_connection;
    m_impl->closeUnneeded();
    auto isConnected = idle.has_value();
    const auto request = makeRequest(!isConnected);
    // A request that is not wanted any more needs no new connection either.
    auto isWanted = !mayBeSent || mayBeSent();
    if (!isConnected) {
        if (isWanted)
            isConnected = co_await connection.connect(address, std::min(timeout, connectTimeout), reason);
        isWanted = isWanted && (!mayBeSent || mayBeSent()); // Connecting takes time.
    }
    std::optional<HttpResponse> response;
    if (!isWanted)
        fail(reason, ErrorKind::Cancelled, "the request is not wanted any more");
    else if (isConnected)
        response = co_await connection.exchange(request, timeout, m_impl->m_limits.m_maximumResponseBytes, reason);
    m_impl->release(pooled);
    --server->m_calls;
    m_impl->forgetIfUnused(*server);
    co_return response;
}

} // namespace hemlockvane::detail
