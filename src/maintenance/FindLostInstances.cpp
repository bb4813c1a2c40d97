#include "hemlockvane/maintenance/FindLostInstances.h"

#include "hemlockvane/log/FleetState.h"

#include <map>
#include <set>

namespace hemlockvane {

namespace {

// Instances of a rack or zone, with those that a wave has not touched counted apart.
struct DomainLoss {
    std::size_t m_size = 0;
    std::size_t m_failed = 0;
    std::size_t m_untouched = 0;
    std::size_t m_untouchedFailed = 0;
};

using LossByDomain = std::map<std::string_view, DomainLoss>;

auto isTouched(const WaveRecord& wave, std::string_view id) -> bool
{
    return wave.m_done.contains(id) || wave.m_failed.contains(id);
}

auto count(LossByDomain& domains, std::string_view domain, bool touched, bool failed) -> void
{
    auto& loss = domains[domain];
    ++loss.m_size;
    loss.m_failed += failed ? 1 : 0;
    loss.m_untouched += touched ? 0 : 1;
    loss.m_untouchedFailed += !touched && failed ? 1 : 0;
}

// The domain failed as a whole: most of it is failed, and so is at least half of what the wave has not touched.
auto hasFailed(const DomainLoss& loss) -> bool
{
    return loss.m_failed * 2 > loss.m_size && loss.m_untouchedFailed > 0
        && loss.m_untouchedFailed * 2 >= loss.m_untouched;
}

// All of a domain that the wave is through with is failed; once that may be the domain, twice it is the wave.
auto isWhollyLost(const DomainLoss& loss) -> bool
{
    return loss.m_untouched == 0 && loss.m_size > 1 && loss.m_failed == loss.m_size;
}

auto failedDomains(const LossByDomain& domains) -> std::set<std::string_view>
{
    std::set<std::string_view> failed;
    std::set<std::string_view> whollyLost;
    for (const auto& [domain, loss] : domains) {
        if (hasFailed(loss))
            failed.insert(domain);
        if (isWhollyLost(loss))
            whollyLost.insert(domain);
    }
    if (whollyLost.size() == 1)
        failed.insert(*whollyLost.begin());
    return failed;
}

} // namespace

auto findLostInstances(const FleetState& state, const WaveRecord& wave) -> std::vector<std::string_view>
{
    LossByDomain racks;
    LossByDomain zones;
    std::vector<std::string_view> lost;
    for (const auto& [id, instance] : state.m_pools.m_instances) {
        const auto touched = isTouched(wave, id);
        if (touched && !instance.m_available)
            lost.push_back(id);
        if (!instance.m_drainingFor.empty())
            continue; // Its state is not known before it is back.
        count(racks, instance.m_rack, touched, !instance.m_available);
        count(zones, instance.m_zone, touched, !instance.m_available);
    }
    const auto failedRacks = failedDomains(racks);
    const auto failedZones = failedDomains(zones);
    std::erase_if(lost, [&](const auto id) {
        const auto& instance = state.m_pools.m_instances.find(id)->second;
        return failedRacks.contains(instance.m_rack) || failedZones.contains(instance.m_zone);
    });
    return lost;
}

} // namespace hemlockvane
