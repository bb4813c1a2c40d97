#include "hemlockvane/maintenance/WaveHarm.h"

#include "hemlockvane/log/FleetState.h"

#include <map>

namespace hemlockvane {

namespace {

// Instances of a domain that a wave has not touched, and those of them that are failed.
struct Untouched {
    std::size_t m_size = 0;
    std::size_t m_failed = 0;
};

using UntouchedByDomain = std::map<std::string_view, Untouched>;

constexpr std::size_t fewestFailedForDomain = 2;

auto isTouched(const WaveRecord& wave, std::string_view id) -> bool
{
    return wave.m_done.contains(id) || wave.m_failed.contains(id);
}

auto count(UntouchedByDomain& domains, std::string_view domain, bool failed) -> void
{
    auto& untouched = domains[domain];
    ++untouched.m_size;
    untouched.m_failed += failed ? 1 : 0;
}

auto hasFailed(const UntouchedByDomain& domains, std::string_view domain) -> bool
{
    const auto found = domains.find(domain);
    return found != domains.end() && found->second.m_failed >= fewestFailedForDomain
        && found->second.m_failed * 2 >= found->second.m_size;
}

} // namespace

auto harmOf(const FleetState& state, const WaveRecord& wave) -> std::vector<std::string_view>
{
    UntouchedByDomain racks;
    UntouchedByDomain zones;
    std::vector<std::string_view> lost;
    for (const auto& [id, instance] : state.m_pools.m_instances) {
        if (isTouched(wave, id)) {
            if (!instance.m_available)
                lost.push_back(id);
            continue;
        }
        count(racks, instance.m_rack, !instance.m_available);
        count(zones, instance.m_zone, !instance.m_available);
    }
    std::erase_if(lost, [&](const auto id) {
        const auto& instance = state.m_pools.m_instances.find(id)->second;
        return hasFailed(racks, instance.m_rack) || hasFailed(zones, instance.m_zone);
    });
    return lost;
}

} // namespace hemlockvane
