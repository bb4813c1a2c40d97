#include "hemlockvane/limits/CapacityHistory.h"

#include <algorithm>

namespace hemlockvane {

auto setCapacity(
    CapacityHistory& history, std::string_view resource, std::uint32_t capacity, Instant now, Duration window) -> void
{
    auto found = history.m_resources.find(resource);
    if (found == history.m_resources.end())
        found = history.m_resources.emplace(std::string(resource), std::vector<CapacityChange> {}).first;
    auto& changes = found->second;
    if (!changes.empty() && changes.back().m_capacity == capacity)
        return;
    changes.push_back({ capacity, now });
    while (changes.size() > 1 && changes[1].m_since < now - window)
        changes.erase(changes.begin());
}

auto capacityOf(const CapacityHistory& history, std::string_view resource) -> std::uint32_t
{
    const auto found = history.m_resources.find(resource);
    return found == history.m_resources.end() ? 0 : found->second.back().m_capacity;
}

auto peakCapacity(const CapacityHistory& history, std::string_view resource, Instant from) -> std::uint32_t
{
    const auto found = history.m_resources.find(resource);
    if (found == history.m_resources.end())
        return 0;
    const auto& changes = found->second;
    auto peak = changes.back().m_capacity;
    for (std::size_t i = 0; i + 1 < changes.size(); ++i) {
        if (changes[i + 1].m_since >= from)
            peak = std::max(peak, changes[i].m_capacity);
    }
    return peak;
}

} // namespace hemlockvane
