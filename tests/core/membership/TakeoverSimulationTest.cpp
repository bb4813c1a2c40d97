#include "hemlockvane/log.h"
#include "hemlockvane/membership.h"

#include "hemlockvane/records.pb.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace hemlockvane {

namespace {

constexpr Duration step { 50 };
constexpr Duration listLag { 600 };
constexpr int lagMs = 600;
constexpr const char* duty = "claims/0";

struct Record {
    Instant m_at; ///< When the record becomes visible.
    std::string m_bytes;
};

struct Node {
    std::string m_id;
    FleetState m_state;
    VouchState m_vouch;
    PlannerState m_planner;
    bool m_isAlive = true;
    bool m_readsLog = true;
    Instant m_pausedUntil;
    Offset m_promised = 0; ///< Newest epoch of the duty for which it has reported.
    std::map<Offset, std::set<std::string>> m_reported; ///< Entries that reported to it, by its own epoch.
    std::map<std::string, Instant> m_removalReadAt;
};

struct Report {
    Instant m_deliverAt;
    std::string m_to;
    std::string m_from;
    PeerReport m_report;
};

struct Listing {
    Instant m_from;
    Instant m_until = Instant::max();
};

} // namespace

/// @brief Simulates entries, a log, an instance list and network links that all fail at random, in virtual time.
class TakeoverSimulation {
public:
    explicit TakeoverSimulation(std::uint32_t seed)
        : m_random(seed)
    {
        for (int i = 0; i < 3; ++i)
            addNode();
    }

    // Simulates one step and returns the entries that act under the duty at its end.
    auto advance() -> std::vector<std::string>
    {
        m_now += step;
        injectFaults();
        deliverReports();
        std::vector<std::string> acting;
        for (const auto& node : m_nodes)
            if (isRunning(*node))
                run(*node);
        for (const auto& node : m_nodes)
            if (isRunning(*node) && mayActUnderDuty(*node))
                acting.push_back(node->m_id);
        return acting;
    }

private:
    auto pick(int count) -> int { return static_cast<int>(m_random() % static_cast<std::uint32_t>(count)); }
    static auto groupOf(const Node& node) -> int { return std::stoi(node.m_id.substr(1)) % 4; }
    auto isRunning(const Node& node) const -> bool { return node.m_isAlive && node.m_pausedUntil <= m_now; }

    auto addNode() -> void
    {
        auto node = std::make_unique<Node>();
        node->m_id = "e" + std::to_string(m_nodes.size());
        node->m_vouch.m_self = node->m_id;
        node->m_vouch.m_limits = { Duration(2000), listLag, Duration(10) };
        PlannerLimits limits;
        limits.m_silenceTimeout = Duration(300);
        limits.m_attemptDelay = Duration(100);
        limits.m_retryInterval = Duration(500);
        limits.m_rebalanceInterval = Duration(2000);
        node->m_planner = makePlanner(node->m_id, { duty }, limits, m_now);
        m_listings[node->m_id].m_from = m_now;
        m_nodes.push_back(std::move(node));
    }

    auto injectFaults() -> void
    {
        if (pick(60) == 0)
            m_isLogUp = !m_isLogUp || pick(2) == 0;
        if (pick(50) == 0) {
            const auto cut = pick(16);
            for (const auto& node : m_nodes)
                node->m_readsLog = (cut >> groupOf(*node) & 1) == 0;
        }
        auto& node = *m_nodes[m_nodes.size() - 1 - static_cast<std::size_t>(pick(std::min<int>(4, m_nodes.size())))];
        if (pick(30) == 0)
            node.m_pausedUntil = m_now + Duration(pick(pick(2) == 0 ? 2000 : 5000));
        if (pick(300) == 0)
            node.m_isAlive = false;
        const auto isDown = !node.m_isAlive || node.m_pausedUntil > m_now;
        auto& listing = m_listings[node.m_id];
        if (listing.m_until == Instant::max() && pick(isDown ? 4 : node.m_readsLog ? 400 : 10) == 0)
            listing.m_until = m_now;
        if (pick(30) == 0)
            m_cutGroups = pick(3) == 0 ? 0 : pick(16);
        if (pick(60) == 0)
            isolate(pick(16));
        const auto alive = std::count_if(m_nodes.begin(), m_nodes.end(), [](const auto& n) { return n->m_isAlive; });
        if (alive < 4 && pick(20) == 0)
            addNode();
    }

    // Disconnects groups of entries from the log and from the other groups. The list drops most of them, alive or not.
    auto isolate(int groups) -> void
    {
        m_cutGroups = groups;
        for (const auto& node : m_nodes) {
            const auto isInside = ((groups >> groupOf(*node)) & 1) != 0;
            node->m_readsLog = !isInside;
            auto& listing = m_listings[node->m_id];
            if (isInside && listing.m_until == Instant::max() && pick(3) != 0)
                listing.m_until = m_now + Duration(pick(1000));
        }
    }

    auto isConnected(const Node& a, const Node& b) const -> bool
    {
        const auto isCut = ((m_cutGroups >> groupOf(a)) & 1) != ((m_cutGroups >> groupOf(b)) & 1);
        return isRunning(a) && isRunning(b) && !isCut;
    }

    auto run(Node& node) -> void
    {
        if (m_isLogUp && node.m_readsLog && pick(2) == 0)
            readLog(node);
        if (pick(3) == 0)
            readList(node);
        for (const auto& peer : m_nodes)
            if (peer.get() != &node && isConnected(node, *peer))
                exchangeHeartbeat(node, *peer);
        for (const auto& action : mayAct(node.m_vouch, m_now) || !isMember(node.m_state.m_membership, node.m_id)
                ? planMembership(node.m_planner, node.m_state.m_membership, m_now)
                : std::vector<MembershipAction>())
            execute(node, action);
        const auto& entries = node.m_state.m_membership.m_entries;
        if (node.m_vouch.m_logReadFrom && !entries.contains(node.m_id) && pick(5) == 0) {
            wire::Operation join;
            join.mutable_join_entry()->set_instance(node.m_id);
            join.mutable_join_entry()->set_zone("z");
            join.mutable_join_entry()->set_address("x");
            append(node, std::move(join));
        }
    }

    auto endAt(Instant at) const -> Offset
    {
        const auto later
            = std::find_if(m_log.begin(), m_log.end(), [&](const auto& record) { return record.m_at > at; });
        return static_cast<Offset>(later - m_log.begin());
    }

    auto foldTo(Node& node, Offset end) -> void
    {
        while (node.m_state.m_nextOffset < end) {
            foldRecord(node.m_state, m_log[node.m_state.m_nextOffset].m_bytes);
            for (const auto& [id, entry] : node.m_state.m_membership.m_entries)
                if (entry.m_removedAt != 0)
                    node.m_removalReadAt.emplace(id, m_now);
        }
        onFoldedEnd(node.m_vouch, node.m_state.m_nextOffset);
    }

    auto readLog(Node& node) -> void
    {
        const auto sentAt = m_now - Duration(pick(300));
        const auto end = endAt(sentAt);
        foldTo(node, end);
        onLogRead(node.m_vouch, sentAt, end);
    }

    auto readList(Node& node) -> void
    {
        InstanceListView view;
        view.m_requestedAt = m_now;
        const auto seenAt = m_now - Duration(pick(lagMs));
        for (const auto& [id, listing] : m_listings)
            if (listing.m_from <= seenAt && seenAt < listing.m_until)
                view.m_instances[id] = ListedStatus::Live;
        onInstanceList(node.m_planner, view);
        onInstanceList(node.m_vouch, node.m_state.m_membership, view, m_now);
    }

    auto exchangeHeartbeat(Node& node, Node& peer) -> void
    {
        onPeerMessage(node.m_planner, peer.m_id, m_now);
        if (peer.m_state.m_nextOffset > node.m_state.m_nextOffset && pick(3) == 0)
            foldTo(node, peer.m_state.m_nextOffset);
        const PeerReport report { m_now, std::max(peer.m_vouch.m_knownEnd, peer.m_state.m_nextOffset),
            readsLog(peer.m_vouch, m_now), logReadAge(peer.m_vouch, m_now) };
        m_reports.push_back({ m_now + Duration(pick(400)), node.m_id, peer.m_id, report });
        const auto epoch = ownEpoch(node);
        if (epoch == 0)
            return;
        peer.m_promised = std::max(peer.m_promised, epoch);
        onKnownEnd(peer.m_vouch, epoch);
        node.m_reported[epoch].insert(peer.m_id);
    }

    auto deliverReports() -> void
    {
        std::deque<Report> later;
        for (const auto& report : m_reports) {
            const auto index = static_cast<std::size_t>(std::stoi(report.m_to.substr(1)));
            auto& node = *m_nodes[index];
            if (report.m_deliverAt > m_now || !isRunning(node))
                later.push_back(report);
            else
                onPeerReport(node.m_vouch, node.m_state.m_membership, report.m_from, report.m_report, m_now);
        }
        m_reports = std::move(later);
    }

    auto execute(Node& node, const MembershipAction& action) -> void
    {
        wire::Operation operation;
        if (action.m_step == MembershipStep::StopSelf) {
            node.m_isAlive = false;
            return;
        }
        if (action.m_step == MembershipStep::TakeDuty) {
            operation.mutable_take_duty()->set_duty(action.m_subject);
            operation.mutable_take_duty()->set_instance(node.m_id);
            operation.mutable_take_duty()->set_replaces_epoch(action.m_epoch);
        } else if (action.m_step == MembershipStep::RemoveEntry) {
            operation.mutable_remove_entry()->set_instance(action.m_subject);
        } else {
            return;
        }
        append(node, std::move(operation));
    }

    // The record becomes visible some time later, even if its author has stopped by then.
    auto append(const Node& node, wire::Operation operation) -> void
    {
        if (!m_isLogUp || !node.m_readsLog)
            return;
        operation.set_id("op" + std::to_string(++m_operations));
        wire::Group group;
        group.set_format(recordFormat);
        group.set_author(node.m_id);
        *group.add_operations() = std::move(operation);
        const auto last = m_log.empty() ? m_now : std::max(m_now, m_log.back().m_at);
        m_log.push_back({ last + Duration(pick(200)), group.SerializeAsString() });
    }

    static auto ownEpoch(const Node& node) -> Offset
    {
        const auto found = node.m_state.m_membership.m_duties.find(duty);
        const auto isHolder = found != node.m_state.m_membership.m_duties.end() && found->second.m_holder == node.m_id;
        return isHolder ? found->second.m_epoch : 0;
    }

    auto mayActUnderDuty(const Node& node) const -> bool
    {
        const auto epoch = ownEpoch(node);
        if (epoch == 0 || node.m_promised > epoch || !mayAct(node.m_vouch, m_now))
            return false;
        const auto& entries = node.m_state.m_membership.m_entries;
        return isMember(node.m_state.m_membership, node.m_id)
            && std::all_of(entries.begin(), entries.end(), [&](const auto& item) {
                   const auto& [id, entry] = item;
                   if (id == node.m_id || entry.m_joinedAt > epoch)
                       return true;
                   const auto reported = node.m_reported.find(epoch);
                   if (reported != node.m_reported.end() && reported->second.contains(id))
                       return true;
                   const auto removal = node.m_removalReadAt.find(id);
                   return removal != node.m_removalReadAt.end()
                       && mayStartTakeover(node.m_vouch, removal->second, m_now);
               });
    }

    std::mt19937 m_random;
    Instant m_now { Duration(10000) };
    bool m_isLogUp = true;
    int m_cutGroups = 0; ///< One bit for each group; groups with set and unset bits are disconnected.
    std::uint64_t m_operations = 0;
    std::vector<Record> m_log;
    std::map<std::string, Listing> m_listings;
    std::deque<Report> m_reports;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

class TakeoverSimulationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TakeoverSimulationTest);
    CPPUNIT_TEST(takeover_randomFaults_neverTwoHoldersAct);
    CPPUNIT_TEST_SUITE_END();

public:
    auto takeover_randomFaults_neverTwoHoldersAct() -> void
    {
        constexpr std::uint32_t seeds = 60;
        constexpr int steps = 1200;
        std::size_t actingSteps = 0;
        std::size_t holders = 0;
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            TakeoverSimulation simulation(seed);
            std::set<std::string> acted;
            for (int i = 0; i < steps; ++i) {
                const auto acting = simulation.advance();
                CPPUNIT_ASSERT_MESSAGE(
                    "seed " + std::to_string(seed) + " step " + std::to_string(i), acting.size() <= 1);
                actingSteps += acting.size();
                acted.insert(acting.begin(), acting.end());
            }
            holders += acted.size();
        }
        // The simulation is meaningful only if duties change holders and holders act.
        CPPUNIT_ASSERT(holders > seeds);
        CPPUNIT_ASSERT(actingSteps > seeds * steps / 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverSimulationTest);

} // namespace hemlockvane
