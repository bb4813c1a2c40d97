#include "hemlockvane/detail/http/ConnectionTable.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/ingress/ChooseToClose.h"

#include <iterator>
#include <utility>
#include <vector>

namespace hemlockvane::detail {

namespace {

// An ordinary client sends its request within this time, or reuses its connection.
constexpr Duration stalledAfter { 1000 };
constexpr Duration logInterval { 100 }; // Clients without limits would otherwise fill the logs.

// The connections, and their uses in the same order.
template <typename List> auto usesOf(const List& connections) -> std::vector<ingress::ConnectionUse>
{
    std::vector<ingress::ConnectionUse> uses;
    uses.reserve(connections.size());
    for (const auto& connection : connections)
        uses.push_back(connection.m_use);
    return uses;
}

} // namespace

ConnectionTable::ConnectionTable(std::size_t maximumBytes)
    : m_maximumBytes(maximumBytes)
{
}

auto ConnectionTable::add(std::function<void()> close) -> Place
{
    m_connections.push_back({ { ingress::ConnectionPhase::Idle, monotonicNow(), 0 }, std::move(close) });
    return std::prev(m_connections.end());
}

auto ConnectionTable::remove(Place connection) -> void
{
    m_heldBytes -= connection->m_use.m_bytes;
    m_connections.erase(connection);
}

auto ConnectionTable::enter(Place connection, ingress::ConnectionPhase phase) -> void
{
    if (connection->m_isClosed)
        return;
    connection->m_use.m_phase = phase;
    connection->m_use.m_since = monotonicNow();
}

auto ConnectionTable::hold(Place connection, std::size_t bytes) -> bool
{
    if (connection->m_isClosed)
        return false;
    m_heldBytes = m_heldBytes - connection->m_use.m_bytes + bytes;
    connection->m_use.m_bytes = bytes;
    while (m_heldBytes > m_maximumBytes) {
        const auto chosen = ingress::chooseForMemory(usesOf(m_connections));
        if (!chosen)
            return false;
        const auto place = std::next(m_connections.begin(), static_cast<std::ptrdiff_t>(*chosen));
        if (place == connection)
            return false;
        close(place);
    }
    return true;
}

auto ConnectionTable::makePlace() -> bool
{
    const auto chosen = ingress::chooseForConnection(usesOf(m_connections), monotonicNow() - stalledAfter);
    if (chosen)
        close(std::next(m_connections.begin(), static_cast<std::ptrdiff_t>(*chosen)));
    return chosen.has_value();
}

auto ConnectionTable::close(Place connection) -> void
{
    ++m_closed;
    if (const auto now = monotonicNow(); now - m_loggedAt >= logInterval) {
        m_loggedAt = now;
        logOf("http").info("event=closed reason=limit phase={} held={} of={} all_held={} closed={}",
            connection->m_use.m_phase == ingress::ConnectionPhase::Idle ? "idle" : "receiving",
            connection->m_use.m_bytes, m_maximumBytes, m_heldBytes, m_closed);
    }
    m_heldBytes -= connection->m_use.m_bytes;
    // It is being closed: neither its memory nor its place is counted any more.
    connection->m_use.m_bytes = 0;
    connection->m_use.m_phase = ingress::ConnectionPhase::Answering;
    connection->m_isClosed = true;
    connection->m_close();
}

} // namespace hemlockvane::detail
