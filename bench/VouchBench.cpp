#include "hemlockvane/membership.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

namespace hemlockvane {

namespace {

constexpr int entries = 9;
constexpr int zones = 4;
constexpr int majority = entries / 2 + 1;
constexpr Duration step { 100 };
constexpr Duration beatPeriod { 500 };
constexpr Duration listPeriod { 1000 };
constexpr Duration warmUp { 10000 };
constexpr Duration faultDuration { 600000 };
constexpr double percent = 100;

// What works during a fault: which entries are up, can read the log and the instance list, and reach each other.
struct FaultScenario {
    std::string m_name;
    std::function<bool(int)> m_isUp = [](int) { return true; };
    std::function<bool(int)> m_canReadLog = [](int) { return true; };
    std::function<bool(int)> m_canReadList = [](int) { return true; };
    std::function<bool(int, int)> m_canReach = [](int, int) { return true; };
    Duration m_logReadTime { 50 }; ///< Duration of a log read, ms.
};

struct Fleet {
    MembershipState m_members;
    std::vector<VouchState> m_entries;
    std::vector<VouchState> m_logOnly; ///< By entry: state that is updated by its own log reads only.
    std::vector<std::vector<Instant>> m_lastContact; ///< By entry and peer: when the peer last answered.
    std::vector<Instant> m_majorityUntil;
};

// Number of samples in which an entry may not act, under each of the compared rules, and number of all samples.
struct RefusedCounts {
    int m_allPeers = 0;
    int m_logLease = 0;
    int m_majority = 0;
    int m_total = 0;
};

auto nameOf(int entry) -> std::string { return "e" + std::to_string(entry); }

auto zoneOf(int entry) -> int { return entry % zones; }

auto makeFleet(const VouchLimits& limits) -> Fleet
{
    Fleet fleet;
    for (int i = 0; i < entries; ++i) {
        fleet.m_members.m_entries[nameOf(i)] = EntryRecord { "z", "x", "x", 1, 0, 0, false };
        VouchState state;
        state.m_limits = limits;
        state.m_self = nameOf(i);
        fleet.m_entries.push_back(state);
        fleet.m_logOnly.push_back(state);
    }
    fleet.m_lastContact.assign(entries, std::vector<Instant>(entries, Instant::min()));
    fleet.m_majorityUntil.assign(entries, Instant::min());
    return fleet;
}

auto readLog(Fleet& fleet, const FaultScenario& scenario, int entry, Instant now) -> void
{
    if (!scenario.m_canReadLog(entry))
        return;
    const auto sentAt = now - scenario.m_logReadTime;
    onLogRead(fleet.m_entries[entry], sentAt, 0);
    onLogRead(fleet.m_logOnly[entry], sentAt, 0);
}

auto readList(Fleet& fleet, const FaultScenario& scenario, int entry, Instant now, Duration lag) -> void
{
    if (!scenario.m_canReadList(entry))
        return;
    InstanceListView view;
    view.m_requestedAt = now;
    for (int i = 0; i < entries; ++i)
        if (scenario.m_isUp(i) || now < Instant(warmUp) + lag)
            view.m_instances[nameOf(i)] = ListedStatus::Live;
    onInstanceList(fleet.m_entries[entry], fleet.m_members, view, now);
}

auto receivePeerReports(Fleet& fleet, const FaultScenario& scenario, int entry, Instant now) -> void
{
    for (int peer = 0; peer < entries; ++peer) {
        if (peer == entry || !scenario.m_isUp(peer) || !scenario.m_canReach(entry, peer))
            continue;
        const auto& peerState = fleet.m_entries[peer];
        const PeerReport report { now, 0, readsLog(peerState, now), logReadAge(peerState, now) };
        onPeerReport(fleet.m_entries[entry], fleet.m_members, nameOf(peer), report, now);
        fleet.m_lastContact[entry][peer] = now;
    }
}

// Counts the members, including the entry itself, whose last answer is more recent than `tenure`. Under the majority
// rule an entry acts while they are more than half.
auto countReachable(const Fleet& fleet, int entry, Instant now, Duration tenure) -> int
{
    const auto& lastContact = fleet.m_lastContact[entry];
    return 1 + static_cast<int>(std::count_if(lastContact.begin(), lastContact.end(), [&](Instant at) {
        return at != Instant::min() && now < at + tenure;
    }));
}

auto simulate(const FaultScenario& fault, const VouchLimits& limits) -> RefusedCounts
{
    const FaultScenario noFault;
    auto fleet = makeFleet(limits);
    RefusedCounts refused;
    for (auto now = Instant(); now < Instant(warmUp + faultDuration); now += step) {
        const auto& scenario = now < Instant(warmUp) ? noFault : fault;
        for (int entry = 0; entry < entries; ++entry) {
            if (!scenario.m_isUp(entry))
                continue;
            if (now.time_since_epoch() % beatPeriod == Duration::zero())
                readLog(fleet, scenario, entry, now);
            if (now.time_since_epoch() % listPeriod == Duration::zero())
                readList(fleet, scenario, entry, now, limits.m_listLag);
            if (now.time_since_epoch() % beatPeriod == Duration::zero())
                receivePeerReports(fleet, scenario, entry, now);
            if (now < Instant(warmUp))
                continue;
            ++refused.m_total;
            refused.m_allPeers += mayAct(fleet.m_entries[entry], now) ? 0 : 1;
            refused.m_logLease += mayAct(fleet.m_logOnly[entry], now) ? 0 : 1;
            refused.m_majority += countReachable(fleet, entry, now, limits.m_tenure) >= majority ? 0 : 1;
        }
    }
    return refused;
}

auto makeScenarios() -> std::vector<FaultScenario>
{
    const auto nobody = [](int) { return false; };
    const auto sameSide = [](int a, int b) { return (zoneOf(a) == 0) == (zoneOf(b) == 0); };
    std::vector<FaultScenario> scenarios;
    scenarios.push_back({ .m_name = "none" });
    scenarios.push_back({ .m_name = "log down", .m_canReadLog = nobody });
    scenarios.push_back({ .m_name = "log slow, 3 s a read", .m_logReadTime = Duration(3000) });
    scenarios.push_back({ .m_name = "log slow, 5 s a read", .m_logReadTime = Duration(5000) });
    scenarios.push_back(
        { .m_name = "one entry cut from the log", .m_canReadLog = [](int entry) { return entry != 0; } });
    scenarios.push_back(
        { .m_name = "one zone cut from the log", .m_canReadLog = [](int entry) { return zoneOf(entry) != 0; } });
    scenarios.push_back({ .m_name = "one zone cut from log and others",
        .m_canReadLog = [](int entry) { return zoneOf(entry) != 0; },
        .m_canReadList = [](int entry) { return zoneOf(entry) != 0; },
        .m_canReach = sameSide });
    scenarios.push_back({ .m_name = "one pair cut", .m_canReach = [](int a, int b) { return a + b != 1; } });
    scenarios.push_back({ .m_name = "log down, one pair cut", .m_canReadLog = nobody, .m_canReach = [](int a, int b) {
                             return a + b != 1;
                         } });
    scenarios.push_back({ .m_name = "log down, one entry crashed",
        .m_isUp = [](int entry) { return entry != 0; },
        .m_canReadLog = nobody });
    scenarios.push_back({ .m_name = "log down, one zone crashed",
        .m_isUp = [](int entry) { return zoneOf(entry) != 0; },
        .m_canReadLog = nobody });
    scenarios.push_back({ .m_name = "log down, zones apart 3 + 6", .m_canReadLog = nobody, .m_canReach = sameSide });
    scenarios.push_back({ .m_name = "log and list down", .m_canReadLog = nobody, .m_canReadList = nobody });
    scenarios.push_back({ .m_name = "list down", .m_canReadList = nobody });
    return scenarios;
}

} // namespace

} // namespace hemlockvane

auto main(int argc, char** argv) -> int
{
    using namespace hemlockvane;
    try {
        TCLAP::CmdLine command("Refused time of three ways to vouch, in virtual time", ' ', "0.1");
        TCLAP::ValueArg<int> tenure("", "tenure", "Tenure in milliseconds", false, 4000, "ms", command);
        TCLAP::ValueArg<int> lag("", "lag", "Lag of the instance list in milliseconds", false, 1000, "ms", command);
        command.parse(argc, argv);
        const VouchLimits limits { Duration(tenure.getValue()), Duration(lag.getValue()), Duration(100) };
        std::printf("| fault of 600 s | all peers, %% refused | log lease, %% refused | majority, %% refused |\n");
        std::printf("|---|---|---|---|\n");
        for (const auto& scenario : makeScenarios()) {
            const auto refused = simulate(scenario, limits);
            const auto share = [&](int count) { return percent * count / refused.m_total; };
            std::printf("| %s | %.1f | %.1f | %.1f |\n", scenario.m_name.c_str(), share(refused.m_allPeers),
                share(refused.m_logLease), share(refused.m_majority));
        }
    } catch (const std::exception& error) {
        std::fprintf(stderr, "VouchBench: %s\n", error.what());
        return 1;
    }
    return 0;
}
