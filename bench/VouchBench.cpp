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
constexpr Duration faultLength { 600000 };
constexpr double percent = 100;

// What works between whom at a time of the fault.
struct Situation {
    std::string m_name;
    std::function<bool(int)> m_isUp = [](int) { return true; };
    std::function<bool(int)> m_readsLog = [](int) { return true; };
    std::function<bool(int)> m_readsList = [](int) { return true; };
    std::function<bool(int, int)> m_hears = [](int, int) { return true; };
    Duration m_readTime { 50 };
};

struct Fleet {
    MembershipState m_members;
    std::vector<VouchState> m_entries;
    std::vector<VouchState> m_logOnly;
    std::vector<std::vector<Instant>> m_heard; ///< Per entry: when each peer was last asked with success.
    std::vector<Instant> m_majorityUntil;
};

struct Refused {
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
    fleet.m_heard.assign(entries, std::vector<Instant>(entries, Instant::min()));
    fleet.m_majorityUntil.assign(entries, Instant::min());
    return fleet;
}

auto readLog(Fleet& fleet, const Situation& situation, int entry, Instant now) -> void
{
    if (!situation.m_readsLog(entry))
        return;
    const auto sentAt = now - situation.m_readTime;
    onLogRead(fleet.m_entries[entry], sentAt, 0);
    onLogRead(fleet.m_logOnly[entry], sentAt, 0);
}

auto readList(Fleet& fleet, const Situation& situation, int entry, Instant now, Duration lag) -> void
{
    if (!situation.m_readsList(entry))
        return;
    InstanceListView view;
    view.m_requestedAt = now;
    for (int i = 0; i < entries; ++i)
        if (situation.m_isUp(i) || now < Instant(warmUp) + lag)
            view.m_instances[nameOf(i)] = ListedStatus::Live;
    onInstanceList(fleet.m_entries[entry], fleet.m_members, view, now);
}

auto hearPeers(Fleet& fleet, const Situation& situation, int entry, Instant now) -> void
{
    for (int peer = 0; peer < entries; ++peer) {
        if (peer == entry || !situation.m_isUp(peer) || !situation.m_hears(entry, peer))
            continue;
        const auto& other = fleet.m_entries[peer];
        const PeerReport report { now, 0, readsLog(other, now), logReadAge(other, now) };
        onPeerReport(fleet.m_entries[entry], fleet.m_members, nameOf(peer), report, now);
        fleet.m_heard[entry][peer] = now;
    }
}

// The majority rule: an entry acts while more than half of the members, itself included, answered within the tenure.
auto countHeard(const Fleet& fleet, int entry, Instant now, Duration tenure) -> int
{
    const auto& heard = fleet.m_heard[entry];
    return 1 + static_cast<int>(std::count_if(heard.begin(), heard.end(), [&](Instant at) {
        return at != Instant::min() && now < at + tenure;
    }));
}

auto run(const Situation& fault, const VouchLimits& limits) -> Refused
{
    const Situation calm;
    auto fleet = makeFleet(limits);
    Refused refused;
    for (auto now = Instant(); now < Instant(warmUp + faultLength); now += step) {
        const auto& situation = now < Instant(warmUp) ? calm : fault;
        for (int entry = 0; entry < entries; ++entry) {
            if (!situation.m_isUp(entry))
                continue;
            if (now.time_since_epoch() % beatPeriod == Duration::zero())
                readLog(fleet, situation, entry, now);
            if (now.time_since_epoch() % listPeriod == Duration::zero())
                readList(fleet, situation, entry, now, limits.m_listLag);
            if (now.time_since_epoch() % beatPeriod == Duration::zero())
                hearPeers(fleet, situation, entry, now);
            if (now < Instant(warmUp))
                continue;
            ++refused.m_total;
            refused.m_allPeers += mayAct(fleet.m_entries[entry], now) ? 0 : 1;
            refused.m_logLease += mayAct(fleet.m_logOnly[entry], now) ? 0 : 1;
            refused.m_majority += countHeard(fleet, entry, now, limits.m_tenure) >= majority ? 0 : 1;
        }
    }
    return refused;
}

auto makeSituations() -> std::vector<Situation>
{
    const auto nobody = [](int) { return false; };
    const auto sameSide = [](int a, int b) { return (zoneOf(a) == 0) == (zoneOf(b) == 0); };
    std::vector<Situation> all;
    all.push_back({ .m_name = "none" });
    all.push_back({ .m_name = "log down", .m_readsLog = nobody });
    all.push_back({ .m_name = "log slow, 3 s a read", .m_readTime = Duration(3000) });
    all.push_back({ .m_name = "log slow, 5 s a read", .m_readTime = Duration(5000) });
    all.push_back({ .m_name = "one entry cut from the log", .m_readsLog = [](int entry) { return entry != 0; } });
    all.push_back(
        { .m_name = "one zone cut from the log", .m_readsLog = [](int entry) { return zoneOf(entry) != 0; } });
    all.push_back({ .m_name = "one zone cut from log and others",
        .m_readsLog = [](int entry) { return zoneOf(entry) != 0; },
        .m_readsList = [](int entry) { return zoneOf(entry) != 0; },
        .m_hears = sameSide });
    all.push_back({ .m_name = "one pair cut", .m_hears = [](int a, int b) { return a + b != 1; } });
    all.push_back({ .m_name = "log down, one pair cut", .m_readsLog = nobody, .m_hears = [](int a, int b) {
                       return a + b != 1;
                   } });
    all.push_back({ .m_name = "log down, one entry crashed",
        .m_isUp = [](int entry) { return entry != 0; },
        .m_readsLog = nobody });
    all.push_back({ .m_name = "log down, one zone crashed",
        .m_isUp = [](int entry) { return zoneOf(entry) != 0; },
        .m_readsLog = nobody });
    all.push_back({ .m_name = "log down, zones apart 3 + 6", .m_readsLog = nobody, .m_hears = sameSide });
    all.push_back({ .m_name = "log and list down", .m_readsLog = nobody, .m_readsList = nobody });
    all.push_back({ .m_name = "list down", .m_readsList = nobody });
    return all;
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
        for (const auto& situation : makeSituations()) {
            const auto refused = run(situation, limits);
            const auto share = [&](int count) { return percent * count / refused.m_total; };
            std::printf("| %s | %.1f | %.1f | %.1f |\n", situation.m_name.c_str(), share(refused.m_allPeers),
                share(refused.m_logLease), share(refused.m_majority));
        }
    } catch (const std::exception& error) {
        std::fprintf(stderr, "VouchBench: %s\n", error.what());
        return 1;
    }
    return 0;
}
