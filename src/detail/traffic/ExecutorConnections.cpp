#include "hemlockvane/detail/traffic/ExecutorConnections.h"

namespace hemlockvane::detail {

ExecutorConnections::ExecutorConnections(boost::asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

auto ExecutorConnections::takeIdle(std::string_view address) -> std::optional<HttpConnection>
{
    const auto found = m_idle.find(address);
    while (found != m_idle.end() && !found->second.empty()) {
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        if (!connection.isStale())
            return connection;
    }
    return std::nullopt;
}

auto ExecutorConnections::makeNew() -> HttpConnection { return HttpConnection(m_executor); }

auto ExecutorConnections::giveBack(std::string_view address, HttpConnection connection, std::size_t maximumIdle) -> void
{
    if (!connection.isOpen())
        return;
    auto& idle = m_idle[std::string(address)];
    if (idle.size() < maximumIdle)
        idle.push_back(std::move(connection));
}

auto ExecutorConnections::dropIdle(std::string_view address) -> void
{
    const auto found = m_idle.find(address);
    if (found != m_idle.end())
        m_idle.erase(found);
}

} // namespace hemlockvane::detail
