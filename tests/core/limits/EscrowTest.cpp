#include "hemlockvane/limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace hemlockvane {

namespace {

constexpr auto resourceName = "team/counter";
constexpr Duration longestRun { 40 };
constexpr Duration vouchTime { 20 };

// One simulated entry: its holder side, its member side and its running requests.
struct Node {
    EscrowHolder m_holder;
    EscrowMember m_member;
    std::uint32_t m_demand = 0;
    std::vector<Instant> m_runs; // When each request ends.
    std::optional<Instant> m_stopsAt; // Set once removed: when its vouch expires.
    bool m_crashed = false;
};

struct PendingMessage {
    Instant m_at;
    std::string m_from;
    std::string m_to;
    wire::Envelope m_envelope;
};

// Simulates entries with a network that loses, duplicates and reorders messages, and a log that all fold at once.
class Fleet {
public:
    Fleet(std::uint64_t seed, int entries, std::uint32_t capacity)
        : m_random(seed)
        , m_capacity(capacity)
    {
        for (int i = 0; i < entries; ++i)
            join();
        changeCapacity(capacity);
        takeOver();
    }

    auto chance(double probability) -> bool { return std::bernoulli_distribution(probability)(m_random); }

    auto join() -> void
    {
        const auto id = "e" + std::to_string(m_nextId++);
        ++m_offset;
        auto& node = m_nodes[id];
        node.m_holder.m_timing = timing();
        node.m_member.m_timing = timing();
        for (const auto& [resource, changes] : m_history.m_resources)
            setCapacity(node.m_holder, resource, changes.back().m_capacity, m_now);
        for (const auto& [other, joinedAt] : m_members)
            memberJoined(node.m_holder, other, joinedAt);
        m_members[id] = m_offset;
        for (auto& [other, peer] : m_nodes)
            memberJoined(peer.m_holder, id, m_offset);
        adoptEpoch(node.m_member, m_duty, m_epoch);
    }

    // Removes an entry. If it has not crashed, it continues to use its permits until its vouch expires.
    auto remove(const std::string& id, bool crashed) -> void
    {
        ++m_offset;
        m_members.erase(id);
        auto& removed = m_nodes[id];
        removed.m_crashed = crashed;
        removed.m_stopsAt = crashed ? m_now : m_now + vouchTime;
        for (auto& [other, peer] : m_nodes) {
            if (other != id)
                memberRemoved(peer.m_holder, id, false, m_now);
        }
        if (m_holderId == id)
            takeOver();
    }

    auto takeOver() -> void
    {
        m_epoch = ++m_offset;
        m_holderId = pickMember();
        takeDuty(m_nodes[m_holderId].m_holder, m_duty, m_epoch);
        adoptEpoch(m_nodes[m_holderId].m_member, m_duty, m_epoch);
    }

    auto changeCapacity(std::uint32_t capacity) -> void
    {
        m_capacity = capacity;
        setCapacity(m_history, resourceName, capacity, m_now, capacityWindow(timing()));
        for (auto& [id, node] : m_nodes)
            setCapacity(node.m_holder, resourceName, capacity, m_now);
    }

    auto pickMember() -> std::string
    {
        auto index = std::uniform_int_distribution<std::size_t>(0, m_members.size() - 1)(m_random);
        return std::next(m_members.begin(), static_cast<std::ptrdiff_t>(index))->first;
    }

    auto tick() -> void
    {
        m_now += Duration { 1 };
        deliver();
        for (auto& [id, node] : m_nodes)
            runNode(id, node);
    }

    // Permits in hand at entries that may use them, plus the requests still running at entries that have stopped.
    auto inHand() const -> std::uint32_t
    {
        std::uint32_t sum = 0;
        for (const auto& [id, node] : m_nodes) {
            const auto found = node.m_member.m_resources.find(resourceName);
            const auto held = found == node.m_member.m_resources.end() ? 0 : permitsHeld(found->second);
            const auto stopped = node.m_stopsAt && *node.m_stopsAt <= m_now;
            sum += stopped ? static_cast<std::uint32_t>(node.m_runs.size()) : held;
        }
        return sum;
    }

    auto running() const -> std::uint32_t
    {
        std::uint32_t sum = 0;
        for (const auto& [id, node] : m_nodes)
            sum += static_cast<std::uint32_t>(node.m_runs.size());
        return sum;
    }

    auto recentPeak() const -> std::uint32_t
    {
        return peakCapacity(m_history, resourceName, m_now - timing().m_removalGrace);
    }

    static auto timing() -> EscrowTiming
    {
        EscrowTiming result;
        result.m_removalGrace = vouchTime + longestRun + Duration { 2 };
        result.m_resendInterval = Duration { 8 };
        result.m_demandInterval = Duration { 1 };
        result.m_rebalanceInterval = Duration { 5 };
        result.m_idleTimeout = Duration { 30 };
        return result;
    }

    std::mt19937_64 m_random;
    std::map<std::string, Node> m_nodes;
    std::map<std::string, Offset> m_members;
    std::string m_duty = escrowDuty(resourceName);
    std::string m_holderId;
    Instant m_now { Duration { 1000 } };
    std::uint32_t m_capacity;
    double m_loss = 0;
    double m_repeat = 0;
    int m_delay = 1; // Longest delay in milliseconds.

private:
    auto send(const std::string& from, const std::string& to, const wire::Envelope& envelope) -> void
    {
        for (int copies = chance(m_repeat) ? 2 : 1; copies > 0; --copies) {
            if (!chance(m_loss))
                m_pendingMessages.push_back(
                    { m_now + Duration { std::uniform_int_distribution(1, m_delay)(m_random) }, from, to, envelope });
        }
    }

    auto deliver() -> void
    {
        std::deque<PendingMessage> due;
        std::erase_if(m_pendingMessages, [&](auto& message) {
            if (message.m_at > m_now)
                return false;
            due.push_back(message);
            return true;
        });
        std::shuffle(due.begin(), due.end(), m_random);
        for (const auto& message : due) {
            auto& node = m_nodes[message.m_to];
            if (!node.m_crashed)
                receive(message, node);
        }
    }

    auto receive(const PendingMessage& message, Node& node) -> void
    {
        const auto& envelope = message.m_envelope;
        if (envelope.has_escrow_report_request()) {
            const auto report = answerReportRequest(
                node.m_member, envelope.escrow_report_request(), node.m_holder.m_capacities, m_now);
            if (!report)
                return;
            wire::Envelope answer;
            *answer.mutable_escrow_report() = *report;
            send(message.m_to, message.m_from, answer);
        }
        if (envelope.has_escrow_report())
            receiveReport(node.m_holder, message.m_from, envelope.escrow_report());
        for (const auto& demand : envelope.escrow_demands().demands())
            receiveDemand(node.m_holder, message.m_from, demand);
        for (const auto& grant : envelope.escrow_grants().grants())
            receiveGrant(node.m_member, grant, m_now);
    }

    auto runNode(const std::string& id, Node& node) -> void
    {
        const auto ended = std::erase_if(node.m_runs, [&](auto end) { return end <= m_now; });
        for (std::size_t i = 0; i < ended; ++i)
            release(node.m_member, resourceName, m_now);
        if (node.m_crashed || (node.m_stopsAt && *node.m_stopsAt <= m_now))
            return;
        setDemand(node.m_member, resourceName, node.m_demand);
        while (node.m_runs.size() < node.m_demand && tryAcquire(node.m_member, resourceName, m_now))
            node.m_runs.push_back(
                m_now + Duration { std::uniform_int_distribution<int>(1, longestRun.count())(m_random) });
        for (auto& sending : dueMessages(node.m_holder, m_now))
            send(id, sending.m_to, sending.m_envelope);
        const auto demands = dueDemands(node.m_member, m_now);
        for (const auto& demand : demands) {
            wire::Envelope envelope;
            *envelope.mutable_escrow_demands()->add_demands() = demand;
            send(id, m_holderId, envelope);
        }
    }

    std::deque<PendingMessage> m_pendingMessages;
    CapacityHistory m_history;
    Offset m_offset = 0;
    Offset m_epoch = 0;
    int m_nextId = 0;
};

} // namespace

class EscrowTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EscrowTest);
    CPPUNIT_TEST(escrow_randomFaults_neverExceedsCapacity);
    CPPUNIT_TEST(escrow_capacityChanges_neverGrowsAboveCapacity);
    CPPUNIT_TEST(escrow_faultsEnded_givesAllPermitsAgain);
    CPPUNIT_TEST(grant_duplicatedOrLate_addsNothing);
    CPPUNIT_TEST(grant_lost_isSentAgain);
    CPPUNIT_TEST(grant_olderEpoch_isIgnoredAfterPromise);
    CPPUNIT_TEST(report_repeatedAfterReturn_keepsFirstHoldings);
    CPPUNIT_TEST(capacity_loweredWhileFull_grantsNothingUntilBelow);
    CPPUNIT_TEST(holder_memberSilent_grantsNothing);
    CPPUNIT_TEST(removal_unplanned_staysChargedForGracePeriod);
    CPPUNIT_TEST(takeover_afterLowering_chargesOldCapacity);
    CPPUNIT_TEST(takeover_peakReportedByMember_chargesOldCapacity);
    CPPUNIT_TEST(takeover_removedBeforeThisJoined_chargesUnreported);
    CPPUNIT_TEST(removal_planned_freesAtOnce);
    CPPUNIT_TEST(record_notYetFolded_keepsPermitCharged);
    CPPUNIT_TEST(forgetResource_permitsInUse_isKept);
    CPPUNIT_TEST(limit_oneOverManyEntries_rotates);
    CPPUNIT_TEST_SUITE_END();

public:
    auto escrow_randomFaults_neverExceedsCapacity() -> void
    {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            Fleet fleet(seed, 4, 1 + static_cast<std::uint32_t>(seed % 12));
            degradeNetwork(fleet);
            for (int i = 0; i < 3000; ++i) {
                injectFaults(fleet);
                fleet.tick();
                CPPUNIT_ASSERT_MESSAGE(failureContext(seed, i), fleet.inHand() <= fleet.m_capacity);
            }
        }
    }

    // Permits that were granted before the capacity was lowered may arrive afterwards. Apart from these, the excess
    // over the capacity only shrinks.
    auto escrow_capacityChanges_neverGrowsAboveCapacity() -> void
    {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            Fleet fleet(seed, 4, 1 + static_cast<std::uint32_t>(seed % 12));
            degradeNetwork(fleet);
            auto before = fleet.inHand();
            for (int i = 0; i < 3000; ++i) {
                injectFaults(fleet);
                if (fleet.chance(0.005))
                    fleet.changeCapacity(std::uniform_int_distribution<std::uint32_t>(0, 12)(fleet.m_random));
                fleet.tick();
                const auto after = fleet.inHand();
                CPPUNIT_ASSERT_MESSAGE(failureContext(seed, i), after <= std::max(before, fleet.recentPeak()));
                before = after;
            }
        }
    }

    auto escrow_faultsEnded_givesAllPermitsAgain() -> void
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            Fleet fleet(seed, 4, 8);
            degradeNetwork(fleet);
            for (int i = 0; i < 1000; ++i) {
                injectFaults(fleet);
                fleet.tick();
            }
            fleet.m_loss = 0;
            fleet.changeCapacity(8);
            for (auto& [id, node] : fleet.m_nodes)
                node.m_demand = 0;
            const auto only = fleet.pickMember();
            fleet.m_nodes[only].m_demand = 8;
            for (int i = 0; i < 500; ++i)
                fleet.tick();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                "seed " + std::to_string(seed), std::size_t { 8 }, fleet.m_nodes[only].m_runs.size());
        }
    }

    auto grant_duplicatedOrLate_addsNothing() -> void
    {
        auto member = memberAtEpoch(5);
        receiveGrant(member, grant(5, 3, 2), m_now);
        receiveGrant(member, grant(5, 3, 2), m_now);
        receiveGrant(member, grant(5, 1, 1), m_now);
        CPPUNIT_ASSERT_EQUAL(3U, permitsFree(member, resourceName));
    }

    auto grant_lost_isSentAgain() -> void
    {
        Fleet fleet(7, 2, 4);
        fleet.m_loss = 1;
        for (auto& [id, node] : fleet.m_nodes)
            node.m_demand = 2;
        for (int i = 0; i < 20; ++i)
            fleet.tick();
        CPPUNIT_ASSERT_EQUAL(0U, fleet.inHand());
        fleet.m_loss = 0;
        for (int i = 0; i < 40; ++i)
            fleet.tick();
        CPPUNIT_ASSERT_EQUAL(4U, fleet.inHand());
    }

    auto grant_olderEpoch_isIgnoredAfterPromise() -> void
    {
        auto member = memberAtEpoch(5);
        wire::EscrowReportRequest request;
        *request.mutable_fence() = fence(9);
        CPPUNIT_ASSERT(answerReportRequest(member, request, {}, m_now).has_value());
        receiveGrant(member, grant(5, 3, 1), m_now);
        CPPUNIT_ASSERT_EQUAL(0U, permitsFree(member, resourceName));
        *request.mutable_fence() = fence(5);
        CPPUNIT_ASSERT(!answerReportRequest(member, request, {}, m_now).has_value());
    }

    auto report_repeatedAfterReturn_keepsFirstHoldings() -> void
    {
        auto member = memberAtEpoch(5);
        receiveGrant(member, grant(5, 3, 1), m_now);
        wire::EscrowReportRequest request;
        *request.mutable_fence() = fence(9);
        answerReportRequest(member, request, {}, m_now);
        auto recall = grant(9, 0, 1);
        recall.set_recall(3);
        receiveGrant(member, recall, m_now);
        const auto again = answerReportRequest(member, request, {}, m_now);
        CPPUNIT_ASSERT_EQUAL(0U, permitsFree(member, resourceName));
        CPPUNIT_ASSERT_EQUAL(3U, again->holdings(0).held());
    }

    auto capacity_loweredWhileFull_grantsNothingUntilBelow() -> void
    {
        Fleet fleet(3, 3, 6);
        for (auto& [id, node] : fleet.m_nodes)
            node.m_demand = 6;
        for (int i = 0; i < 100; ++i)
            fleet.tick();
        CPPUNIT_ASSERT_EQUAL(6U, fleet.running());
        fleet.changeCapacity(2);
        auto before = fleet.running();
        for (int i = 0; i < 200; ++i) {
            fleet.tick();
            const auto after = fleet.running();
            CPPUNIT_ASSERT(after <= std::max(before, 2U));
            before = after;
        }
        CPPUNIT_ASSERT_EQUAL(2U, fleet.inHand());
    }

    auto holder_memberSilent_grantsNothing() -> void
    {
        EscrowHolder holder;
        memberJoined(holder, "a", 1);
        memberJoined(holder, "b", 2);
        setCapacity(holder, resourceName, 4, m_now);
        takeDuty(holder, m_duty, 3);
        setTargets(holder, resourceName, {}); // Grants nothing by itself.
        report(holder, "a", 3, 0);
        dueMessages(holder, m_now);
        CPPUNIT_ASSERT(!isDutyActive(holder, m_duty));
        CPPUNIT_ASSERT_EQUAL(0U, grantablePermits(holder, resourceName, m_now));
        report(holder, "b", 3, 1);
        dueMessages(holder, m_now);
        CPPUNIT_ASSERT(isDutyActive(holder, m_duty));
        CPPUNIT_ASSERT_EQUAL(3U, grantablePermits(holder, resourceName, m_now));
    }

    auto removal_unplanned_staysChargedForGracePeriod() -> void
    {
        auto holder = holderWithTwo();
        memberRemoved(holder, "b", false, m_now);
        dueMessages(holder, m_now);
        CPPUNIT_ASSERT_EQUAL(3U, grantablePermits(holder, resourceName, m_now));
        const auto settled = m_now + holder.m_timing.m_removalGrace;
        CPPUNIT_ASSERT_EQUAL(3U, grantablePermits(holder, resourceName, settled - Duration { 1 }));
        CPPUNIT_ASSERT_EQUAL(4U, grantablePermits(holder, resourceName, settled));
    }

    // The removed holder "b" may still use permits that it received under the old capacity.
    auto takeover_afterLowering_chargesOldCapacity() -> void
    {
        EscrowHolder holder;
        memberJoined(holder, "a", 1);
        memberJoined(holder, "b", 2);
        setCapacity(holder, resourceName, 10, m_now);
        setCapacity(holder, resourceName, 5, m_now + Duration { 10 });
        activateWithOneMember(holder, 4, 0);
        CPPUNIT_ASSERT_EQUAL(0U, grantablePermits(holder, resourceName, m_now));
        CPPUNIT_ASSERT_EQUAL(5U, grantablePermits(holder, resourceName, m_now + holder.m_timing.m_removalGrace));
    }

    auto takeover_peakReportedByMember_chargesOldCapacity() -> void
    {
        EscrowHolder holder;
        memberJoined(holder, "a", 1);
        memberJoined(holder, "b", 2);
        setCapacity(holder, resourceName, 5, m_now);
        activateWithOneMember(holder, 4, 10);
        CPPUNIT_ASSERT_EQUAL(0U, grantablePermits(holder, resourceName, m_now));
    }

    // "b" was removed before this instance joined, so "b" was never in its list of members.
    auto takeover_removedBeforeThisJoined_chargesUnreported() -> void
    {
        EscrowHolder holder;
        memberJoined(holder, "a", 2);
        setCapacity(holder, resourceName, 4, m_now);
        activateWithOneMember(holder, 1, 0);
        CPPUNIT_ASSERT_EQUAL(1U, grantablePermits(holder, resourceName, m_now));
        CPPUNIT_ASSERT_EQUAL(4U, grantablePermits(holder, resourceName, m_now + holder.m_timing.m_removalGrace));
    }

    auto removal_planned_freesAtOnce() -> void
    {
        auto holder = holderWithTwo();
        memberRemoved(holder, "b", true, m_now);
        CPPUNIT_ASSERT_EQUAL(4U, grantablePermits(holder, resourceName, m_now));
    }

    auto record_notYetFolded_keepsPermitCharged() -> void
    {
        auto holder = holderWithTwo();
        auto member = memberAtEpoch(3);
        member.m_resources[resourceName].m_duty = m_duty;
        member.m_resources[resourceName].m_base = 1;
        CPPUNIT_ASSERT(tryAcquire(member, resourceName, m_now));
        releaseToLog(member, resourceName, 20);
        const auto demands = dueDemands(member, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, demands.size());
        receiveDemand(holder, "b", demands[0]);
        CPPUNIT_ASSERT_EQUAL(3U, grantablePermits(holder, resourceName, m_now));
        holder.m_foldedEnd = 21;
        setLoggedPermits(holder, resourceName, 1);
        receiveDemand(holder, "b", demands[0]);
        CPPUNIT_ASSERT_EQUAL(3U, grantablePermits(holder, resourceName, m_now));
        setLoggedPermits(holder, resourceName, 0);
        CPPUNIT_ASSERT_EQUAL(4U, grantablePermits(holder, resourceName, m_now));
    }

    auto forgetResource_permitsInUse_isKept() -> void
    {
        auto holder = holderWithTwo();
        auto member = memberAtEpoch(3);
        receiveGrant(member, grant(3, 1, 1), m_now);
        CPPUNIT_ASSERT(!forgetResource(member, resourceName));
        CPPUNIT_ASSERT(!forgetResource(holder, resourceName));
        setCapacity(holder, resourceName, 0, m_now);
        CPPUNIT_ASSERT(!forgetResource(holder, resourceName));
        memberRemoved(holder, "b", true, m_now);
        CPPUNIT_ASSERT(forgetResource(holder, resourceName));
        CPPUNIT_ASSERT(holder.m_capacities.m_resources.empty());
    }

    auto limit_oneOverManyEntries_rotates() -> void
    {
        Fleet fleet(11, 9, 1);
        std::map<std::string, int> ran;
        for (auto& [id, node] : fleet.m_nodes)
            node.m_demand = 1;
        for (int i = 0; i < 3000; ++i) {
            fleet.tick();
            for (const auto& [id, node] : fleet.m_nodes)
                ran[id] += static_cast<int>(node.m_runs.size());
        }
        for (const auto& [id, node] : fleet.m_nodes)
            CPPUNIT_ASSERT_MESSAGE(id, ran[id] > 0);
    }

private:
    static auto injectFaults(Fleet& fleet) -> void
    {
        if (fleet.chance(0.1))
            fleet.m_nodes[fleet.pickMember()].m_demand
                = std::uniform_int_distribution<std::uint32_t>(0, 10)(fleet.m_random);
        if (fleet.chance(0.005) && fleet.m_members.size() > 2)
            fleet.remove(fleet.chance(0.4) ? fleet.m_holderId : fleet.pickMember(), fleet.chance(0.5));
        if (fleet.chance(0.005) && fleet.m_members.size() < 6)
            fleet.join();
    }

    static auto degradeNetwork(Fleet& fleet) -> void
    {
        fleet.m_loss = 0.2;
        fleet.m_repeat = 0.2;
        fleet.m_delay = 30;
    }

    static auto failureContext(std::uint64_t seed, int tick) -> std::string
    {
        return "seed " + std::to_string(seed) + " tick " + std::to_string(tick);
    }

    auto fence(Offset epoch) const -> wire::Fence
    {
        wire::Fence result;
        result.set_duty(m_duty);
        result.set_epoch(epoch);
        return result;
    }

    auto memberAtEpoch(Offset epoch) const -> EscrowMember
    {
        EscrowMember member;
        adoptEpoch(member, m_duty, epoch);
        return member;
    }

    auto grant(Offset epoch, std::uint32_t total, std::uint64_t sequence) const -> wire::EscrowGrant
    {
        wire::EscrowGrant result;
        *result.mutable_fence() = fence(epoch);
        result.set_resource(resourceName);
        result.set_granted(total);
        result.set_target(total);
        result.set_sequence(sequence);
        return result;
    }

    // Removes "b" and takes the duty; "a" reports its holdings and then returns them.
    auto activateWithOneMember(EscrowHolder& holder, std::uint32_t held, std::uint32_t peak) const -> void
    {
        memberRemoved(holder, "b", false, m_now);
        takeDuty(holder, m_duty, 3);
        setTargets(holder, resourceName, {});
        report(holder, "a", 3, held, peak);
        dueMessages(holder, m_now);
        CPPUNIT_ASSERT(isDutyActive(holder, m_duty));
        wire::EscrowDemand demand;
        *demand.mutable_fence() = fence(3);
        demand.set_resource(resourceName);
        demand.set_returned(held);
        demand.set_sequence(1);
        receiveDemand(holder, "a", demand);
    }

    auto report(EscrowHolder& holder, std::string_view sender, Offset epoch, std::uint32_t held,
        std::uint32_t peak = 0) const -> void
    {
        wire::EscrowReport message;
        *message.mutable_fence() = fence(epoch);
        auto* holding = message.add_holdings();
        holding->set_resource(resourceName);
        holding->set_held(held);
        holding->set_peak_capacity(peak);
        receiveReport(holder, sender, message);
    }

    // Capacity 4; "a" holds nothing and "b" one permit.
    auto holderWithTwo() const -> EscrowHolder
    {
        EscrowHolder holder;
        memberJoined(holder, "a", 1);
        memberJoined(holder, "b", 2);
        setCapacity(holder, resourceName, 4, m_now);
        takeDuty(holder, m_duty, 3);
        setTargets(holder, resourceName, {}); // Grants nothing by itself.
        report(holder, "a", 3, 0);
        report(holder, "b", 3, 1);
        dueMessages(holder, m_now);
        return holder;
    }

    std::string m_duty = escrowDuty(resourceName);
    Instant m_now { Duration { 1000 } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(EscrowTest);

} // namespace hemlockvane
