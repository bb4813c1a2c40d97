#include "hemlockvane/membership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace hemlockvane {

class VouchTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(VouchTest);
    CPPUNIT_TEST(mayAct_neverRead_isFalse);
    CPPUNIT_TEST(onLogRead_slowAnswer_countsFromSending);
    CPPUNIT_TEST(onLogRead_notFoldedToEnd_doesNotVouch);
    CPPUNIT_TEST(mayAct_resumedAfterPause_isFalse);
    CPPUNIT_TEST(onPeerReport_everyPeerLacksLog_extends);
    CPPUNIT_TEST(onPeerReport_onePeerWithoutReport_doesNotExtend);
    CPPUNIT_TEST(onPeerReport_peerReadsLog_doesNotExtend);
    CPPUNIT_TEST(onPeerReport_peerFoldedFurther_doesNotExtend);
    CPPUNIT_TEST(onPeerReport_newerEpochKnown_doesNotExtend);
    CPPUNIT_TEST(onPeerReport_afterGap_doesNotRenew);
    CPPUNIT_TEST(onPeerReport_listedButUnknownInstance_mustReport);
    CPPUNIT_TEST(onPeerReport_memberNotYetListed_mustReport);
    CPPUNIT_TEST(onPeerReport_memberOffList_isNotNeeded);
    CPPUNIT_TEST(onPeerReport_staleList_extendsNoFurtherThanIt);
    CPPUNIT_TEST(onPeerReport_selfOffList_doesNotExtend);
    CPPUNIT_TEST(onPeerReport_peerReadLog_extendsFromTimeOfItsRead);
    CPPUNIT_TEST(onPeerReport_peerReadLogButBehindIt_doesNotVouch);
    CPPUNIT_TEST(readsLog_readsSlowerThanTenure_turnsFalseBeforeVouchEnds);
    CPPUNIT_TEST(onPeerReport_reorderedAnswers_keepLatestRequest);
    CPPUNIT_TEST(onInstanceList_emptyList_isIgnored);
    CPPUNIT_TEST(mayStartTakeover_tenureOnly_isFalse);
    CPPUNIT_TEST(mayStartTakeover_offFreshList_isFalse);
    CPPUNIT_TEST(mayStartTakeover_laggingList_neverOverlapsVouch);
    CPPUNIT_TEST_SUITE_END();

    static auto at(int milliseconds) -> Instant { return Instant(Duration(milliseconds)); }

    static auto limits() -> VouchLimits { return { Duration(1000), Duration(200), Duration(10) }; }

    static auto list(int askedAt, std::initializer_list<const char*> instances) -> InstanceListView
    {
        InstanceListView view;
        view.m_requestedAt = at(askedAt);
        for (const auto* instance : instances)
            view.m_instances[instance] = ListedStatus::Live;
        return view;
    }

    auto report(const char* peer, int askedAt, int now, Offset foldedEnd = 10, bool logReachable = false) -> void
    {
        onPeerReport(m_state, m_members, peer, { at(askedAt), foldedEnd, logReachable, std::nullopt }, at(now));
    }

    auto listed(int askedAt, std::initializer_list<const char*> instances) -> void
    {
        onInstanceList(m_state, m_members, list(askedAt, instances), at(askedAt));
    }

    VouchState m_state;
    MembershipState m_members;

public:
    // Three members; this entry has folded to the log's end at time 0.
    auto setUp() -> void override
    {
        m_members = {};
        for (const auto* id : { "a", "b", "c" })
            m_members.m_entries[id] = EntryRecord { "z", "x", "x", 1, 0, 0, false };
        m_state = {};
        m_state.m_limits = limits();
        m_state.m_self = "a";
        listed(0, { "a", "b", "c" });
        onFoldedEnd(m_state, 10);
        onLogRead(m_state, at(0), 10);
    }

    auto mayAct_neverRead_isFalse() -> void
    {
        m_state = {};
        CPPUNIT_ASSERT(!mayAct(m_state, at(0)));
    }

    auto onLogRead_slowAnswer_countsFromSending() -> void
    {
        onLogRead(m_state, at(500), 10);
        CPPUNIT_ASSERT(mayAct(m_state, at(1499)));
        CPPUNIT_ASSERT(!mayAct(m_state, at(1500)));
    }

    auto onLogRead_notFoldedToEnd_doesNotVouch() -> void
    {
        onLogRead(m_state, at(900), 11);
        CPPUNIT_ASSERT(!mayAct(m_state, at(1000)));
    }

    auto mayAct_resumedAfterPause_isFalse() -> void
    {
        CPPUNIT_ASSERT(mayAct(m_state, at(10)));
        CPPUNIT_ASSERT(!mayAct(m_state, at(5000)));
    }

    auto onPeerReport_everyPeerLacksLog_extends() -> void
    {
        listed(800, { "a", "b", "c" });
        report("b", 700, 900);
        CPPUNIT_ASSERT(!mayAct(m_state, at(1001)));
        report("c", 750, 950);
        CPPUNIT_ASSERT(mayAct(m_state, at(1699)));
        CPPUNIT_ASSERT(!mayAct(m_state, at(1700)));
    }

    auto onPeerReport_onePeerWithoutReport_doesNotExtend() -> void
    {
        listed(800, { "a", "b", "c" });
        report("b", 800, 900);
        CPPUNIT_ASSERT(!mayAct(m_state, at(1000)));
    }

    auto onPeerReport_peerReadsLog_doesNotExtend() -> void
    {
        listed(800, { "a", "b", "c" });
        report("b", 800, 900);
        report("c", 800, 900, 10, true);
        CPPUNIT_ASSERT(!mayAct(m_state, at(1000)));
    }

    auto onPeerReport_peerFoldedFurther_doesNotExtend() -> void
    {
        listed(800, { "a", "b", "c" });
        report("b", 800, 900);
        report("c", 800, 900, 11);
        CPPUNIT_ASSERT(!mayAct(m_state, at(1000)));
    }

    auto onPeerReport_newerEpochKnown_doesNotExtend() -> void
    {
        listed(800, { "a", "b", "c" });
        onKnownEnd(m_state, 11);
        report("b", 800, 900);
        report("c", 800, 900);
        CPPUNIT_ASSERT(!mayAct(m_state, at(1000)));
    }

    auto onPeerReport_afterGap_doesNotRenew() -> void
    {
        listed(1100, { "a", "b", "c" });
        report("b", 1100, 1150);
        report("c", 1100, 1150);
        CPPUNIT_ASSERT(!mayAct(m_state, at(1150)));
        onLogRead(m_state, at(1200), 10);
        CPPUNIT_ASSERT(mayAct(m_state, at(1250)));
    }

    auto onPeerReport_listedButUnknownInstance_mustReport() -> void
    {
        listed(800, { "a", "b", "c", "new" });
        report("b", 800, 900);
        report("c", 800, 900);
        CPPUNIT_ASSERT(!mayAct(m_state, at(1000)));
    }

    auto onPeerReport_memberNotYetListed_mustReport() -> void
    {
        m_members.m_entries["new"] = EntryRecord { "z", "x", "x", 9, 0, 0, false };
        listed(800, { "a", "b", "c" });
        report("b", 800, 900);
        report("c", 800, 900);
        CPPUNIT_ASSERT(!mayAct(m_state, at(1000)));
    }

    auto onPeerReport_memberOffList_isNotNeeded() -> void
    {
        listed(800, { "a", "b" });
        report("b", 800, 900);
        CPPUNIT_ASSERT(mayAct(m_state, at(1000)));
    }

    auto onPeerReport_staleList_extendsNoFurtherThanIt() -> void
    {
        listed(300, { "a", "b", "c" });
        report("b", 800, 900);
        report("c", 800, 900);
        CPPUNIT_ASSERT(mayAct(m_state, at(1299)));
        CPPUNIT_ASSERT(!mayAct(m_state, at(1300)));
    }

    auto onPeerReport_selfOffList_doesNotExtend() -> void
    {
        listed(800, { "b", "c" });
        report("b", 800, 900);
        report("c", 800, 900);
        CPPUNIT_ASSERT(!mayAct(m_state, at(1000)));
    }

    auto onPeerReport_peerReadLog_extendsFromTimeOfItsRead() -> void
    {
        onPeerReport(m_state, m_members, "b", { at(2000), 10, true, Duration(300) }, at(2100));
        CPPUNIT_ASSERT(mayAct(m_state, at(2699)));
        CPPUNIT_ASSERT(!mayAct(m_state, at(2700)));
    }

    auto onPeerReport_peerReadLogButBehindIt_doesNotVouch() -> void
    {
        onPeerReport(m_state, m_members, "b", { at(2000), 11, true, Duration(300) }, at(2100));
        CPPUNIT_ASSERT(!mayAct(m_state, at(2100)));
    }

    auto readsLog_readsSlowerThanTenure_turnsFalseBeforeVouchEnds() -> void
    {
        CPPUNIT_ASSERT(readsLog(m_state, at(499)));
        CPPUNIT_ASSERT(!readsLog(m_state, at(500)));
        CPPUNIT_ASSERT(mayAct(m_state, at(500)));
        CPPUNIT_ASSERT(logReadAge(m_state, at(500)) == Duration(500));
        onPeerReport(m_state, m_members, "b", { at(500), 10, true, Duration(100) }, at(500));
        CPPUNIT_ASSERT(!readsLog(m_state, at(500)));
    }

    auto onPeerReport_reorderedAnswers_keepLatestRequest() -> void
    {
        listed(800, { "a", "b", "c" });
        report("b", 800, 900);
        report("c", 850, 900, 10, true);
        report("c", 700, 950);
        CPPUNIT_ASSERT(!mayAct(m_state, at(1000)));
    }

    auto onInstanceList_emptyList_isIgnored() -> void
    {
        listed(800, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_state.m_list.m_instances.size());
    }

    auto mayStartTakeover_tenureOnly_isFalse() -> void
    {
        listed(1410, { "a" });
        CPPUNIT_ASSERT(!mayStartTakeover(m_state, at(0), at(1010)));
        CPPUNIT_ASSERT(!mayStartTakeover(m_state, at(1), at(1410)));
        CPPUNIT_ASSERT(mayStartTakeover(m_state, at(0), at(1410)));
    }

    auto mayStartTakeover_offFreshList_isFalse() -> void
    {
        listed(1409, { "a" });
        CPPUNIT_ASSERT(!mayStartTakeover(m_state, at(0), at(1500)));
        listed(1500, { "b" });
        CPPUNIT_ASSERT(!mayStartTakeover(m_state, at(0), at(1500)));
    }

    // "a" and "b" cannot reach the log and extend each other's vouch, while the list drops them and shows the new entry
    // "x" that they have not seen. Each read of the list is outdated by a random time within its lag.
    auto mayStartTakeover_laggingList_neverOverlapsVouch() -> void
    {
        for (unsigned seed = 1; seed <= 200; ++seed) {
            std::mt19937 random(seed);
            const auto dropped = static_cast<int>(100 + random() % 1500);
            setUp();
            m_members.m_entries.erase("c");
            VouchState joiner;
            joiner.m_limits = limits();
            joiner.m_self = "x";
            const auto viewAt = [&](int now) {
                const auto lagged = now - static_cast<int>(random() % 200);
                return lagged < dropped ? list(now, { "a", "b" }) : list(now, { "x" });
            };
            auto started = false;
            for (int now = 0; now < 5000; now += 50) {
                onInstanceList(m_state, m_members, viewAt(now), at(now));
                report("b", now, now);
                onInstanceList(joiner, {}, viewAt(now), at(now));
                started = started || mayStartTakeover(joiner, at(dropped), at(now));
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), !started || !mayAct(m_state, at(now)));
            }
            CPPUNIT_ASSERT(started);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VouchTest);

} // namespace hemlockvane
