#include "hemlockvane/maintenance/FindLostInstances.h"

#include "hemlockvane/log/FleetState.h"

#include <map>
#include <set>

namespace hemlockvane {

namespace {

// Instances of a rack or zone; those that the wave has not processed are also counted separately.
struct DomainLoss {
    std::size_t m_size = 0;
    std::size_t m_failed = 0;
    std::size_t m_unprocessed = 0;
    std::size_t m_unprocessedFailed = 0;
};

using LossByDomain = std::map<std::string_view, DomainLoss>;

auto isProcessed(const WaveRecord& wave, std::string_view id) -> bool
{
    return wave.m_done.contains(id) || wave.m_failed.contains(id);
}

auto count(LossByDomain& domains, std::string_view domain, bool processed, bool failed) -> void
{
    auto& loss = domains[domain];
    ++loss.m_size;
    loss.m_failed += failed ? 1 : 0;
    loss.m_unprocessed += processed ? 0 : 1;
    loss.m_unprocessedFailed += !processed && failed ? 1 : 0;
}

// True when the domain failed as a whole: most instances are failed, among them at least half of those that the wave
// has not processed.
auto hasFailed(const DomainLoss& loss) -> bool
{
    return loss.m_failed * 2 > loss.m_size && loss.m_unprocessedFailed > 0
        && loss.m_unprocessedFailed * 2 >= loss.m_unprocessed;
}

// True when the wave has processed every instance of the domain and all of them are failed. A single such domain counts
// as a failure of the domain; the instances of several are attributed to the wave.
auto isWhollyLost(const DomainLoss& loss) -> bool
{
    return loss.m_unprocessed == 0 && loss.m_size > 1 && loss.m_failed == loss.m_size;
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
        const auto processed = isProcessed(wave, id);
        if (processed && !instance.m_available)
            lost.push_back(id);
        if (!instance.m_drainingFor.empty())
            continue; // Whether it is healthy is only known after the drain.
        count(racks, instance.m_rack, processed, !instance.m_available);
        count(zones, instance.m_zone, processed, !instance.m_available);
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
