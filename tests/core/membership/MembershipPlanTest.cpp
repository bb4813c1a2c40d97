#include "hemlockvane/log.h"
#include "hemlockvane/membership.h"

#include "hemlockvane/records.pb.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <map>

namespace hemlockvane {

class MembershipPlanTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MembershipPlanTest);
    CPPUNIT_TEST(planMembership_memberOffListAndSilent_isRemoved);
    CPPUNIT_TEST(planMembership_memberListedButSilent_stays);
    CPPUNIT_TEST(planMembership_memberFailedOnListButNotSilent_stays);
    CPPUNIT_TEST(planMembership_staleList_removesNobody);
    CPPUNIT_TEST(planMembership_emptyList_stopsNobody);
    CPPUNIT_TEST(planMembership_selfOffList_stops);
    CPPUNIT_TEST(planMembership_selfRemoved_stops);
    CPPUNIT_TEST(planMembership_selfNotYetListed_continues);
    CPPUNIT_TEST(planMembership_selfLeaving_takesNothing);
    CPPUNIT_TEST(planMembership_unheldDuties_onlyFirstChoiceTriesFirst);
    CPPUNIT_TEST(planMembership_firstChoiceFails_othersTryLater);
    CPPUNIT_TEST(planMembership_lostEntry_dutiesAreSpread);
    CPPUNIT_TEST(planMembership_anotherEntryPreferred_releasesOneDutyPerPeriod);
    CPPUNIT_TEST(foldGroup_racingTakeDuty_acceptsOne);
    CPPUNIT_TEST(planHandover_dutiesHeld_releasesThenLeaves);
    CPPUNIT_TEST(rendezvousRank_entryAdded_movesOnlyToIt);
    CPPUNIT_TEST_SUITE_END();

    static auto at(int milliseconds) -> Instant { return Instant(Duration(milliseconds)); }

    static auto list(int askedAt, const std::vector<std::string>& live) -> InstanceListView
    {
        InstanceListView view;
        view.m_requestedAt = at(askedAt);
        for (const auto& instance : live)
            view.m_instances[instance] = ListedStatus::Live;
        return view;
    }

    static auto makeMembers(int count) -> MembershipState
    {
        MembershipState members;
        for (int i = 0; i < count; ++i)
            members.m_entries["e" + std::to_string(i)] = EntryRecord { "z", "x", "x", 1, 0, 0, false };
        return members;
    }

    static auto names(const MembershipState& members) -> std::vector<std::string>
    {
        std::vector<std::string> result;
        for (const auto& [id, record] : members.m_entries)
            result.push_back(id);
        return result;
    }

    static auto makeFor(const std::string& self, std::vector<std::string> duties = {}) -> PlannerState
    {
        return makePlanner(self, std::move(duties), PlannerLimits(), at(0));
    }

    static auto hasStep(const std::vector<MembershipAction>& actions, MembershipStep step) -> bool
    {
        return std::any_of(actions.begin(), actions.end(), [&](const auto& action) { return action.m_step == step; });
    }

    // Two members; "e1" is silent from time 0 on.
    static auto planAgainst(PlannerState& state, const InstanceListView& view, int now) -> std::vector<MembershipAction>
    {
        const auto members = makeMembers(2);
        planMembership(state, members, at(0));
        onInstanceList(state, view);
        planMembership(state, members, at(now));
        return planMembership(state, members, at(now + 300));
    }

    static auto fold(FleetState& fleet, wire::Operation operation) -> ErrorKind
    {
        wire::Group group;
        group.set_format(recordFormat);
        operation.set_id("op" + std::to_string(fleet.m_nextOffset));
        *group.add_operations() = std::move(operation);
        return foldGroup(fleet, group).front().m_error;
    }

public:
    auto planMembership_memberOffListAndSilent_isRemoved() -> void
    {
        auto state = makeFor("e0");
        const auto members = makeMembers(2);
        planMembership(state, members, at(0));
        onInstanceList(state, list(3000, { "e0" }));
        const auto actions = planMembership(state, members, at(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(actions[0].m_step == MembershipStep::RemoveEntry);
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), actions[0].m_subject);
        CPPUNIT_ASSERT(planMembership(state, members, at(3100)).empty());
    }

    auto planMembership_memberListedButSilent_stays() -> void
    {
        auto state = makeFor("e0");
        CPPUNIT_ASSERT(planAgainst(state, list(9000, { "e0", "e1" }), 9000).empty());
    }

    auto planMembership_memberFailedOnListButNotSilent_stays() -> void
    {
        auto state = makeFor("e0");
        const auto members = makeMembers(2);
        planMembership(state, members, at(0));
        onPeerMessage(state, "e1", at(2000));
        auto view = list(3000, { "e0" });
        view.m_instances["e1"] = ListedStatus::Failed;
        onInstanceList(state, view);
        CPPUNIT_ASSERT(planMembership(state, members, at(4999)).empty());
        CPPUNIT_ASSERT(hasStep(planMembership(state, members, at(5000)), MembershipStep::RemoveEntry));
    }

    auto planMembership_staleList_removesNobody() -> void
    {
        auto state = makeFor("e0");
        CPPUNIT_ASSERT(planAgainst(state, list(3000, { "e0" }), 8000).empty());
    }

    auto planMembership_emptyList_stopsNobody() -> void
    {
        auto state = makeFor("e0");
        onInstanceList(state, list(10, { "e0", "e1" }));
        CPPUNIT_ASSERT(planAgainst(state, list(3000, {}), 3000).empty());
    }

    auto planMembership_selfOffList_stops() -> void
    {
        auto state = makeFor("e0");
        const auto members = makeMembers(2);
        onInstanceList(state, list(0, { "e0", "e1" }));
        CPPUNIT_ASSERT(!hasStep(planMembership(state, members, at(0)), MembershipStep::StopSelf));
        onInstanceList(state, list(100, { "e1" }));
        CPPUNIT_ASSERT(hasStep(planMembership(state, members, at(100)), MembershipStep::StopSelf));
    }

    auto planMembership_selfRemoved_stops() -> void
    {
        auto state = makeFor("e0");
        auto members = makeMembers(2);
        planMembership(state, members, at(0));
        members.m_entries["e0"].m_removedAt = 5;
        CPPUNIT_ASSERT(hasStep(planMembership(state, members, at(1)), MembershipStep::StopSelf));
    }

    auto planMembership_selfNotYetListed_continues() -> void
    {
        auto state = makeFor("e0");
        onInstanceList(state, list(0, { "e1" }));
        CPPUNIT_ASSERT(!hasStep(planMembership(state, makeMembers(2), at(0)), MembershipStep::StopSelf));
    }

    auto planMembership_selfLeaving_takesNothing() -> void
    {
        auto state = makeFor("e0", { "placement" });
        auto view = list(0, { "e1" });
        view.m_instances["e0"] = ListedStatus::Leaving;
        onInstanceList(state, view);
        planMembership(state, makeMembers(2), at(0));
        CPPUNIT_ASSERT(planMembership(state, makeMembers(2), at(1000)).empty());
    }

    auto planMembership_unheldDuties_onlyFirstChoiceTriesFirst() -> void
    {
        const auto members = makeMembers(5);
        const auto duties = dutyNames({ 32, 8 });
        std::map<std::string, int> attempts;
        for (const auto& self : names(members)) {
            auto state = makeFor(self, duties);
            for (const auto& action : planMembership(state, members, at(0)))
                ++attempts[action.m_subject];
        }
        CPPUNIT_ASSERT_EQUAL(duties.size(), attempts.size());
        for (const auto& [duty, count] : attempts)
            CPPUNIT_ASSERT_EQUAL(1, count);
    }

    auto planMembership_firstChoiceFails_othersTryLater() -> void
    {
        const auto members = makeMembers(3);
        for (const auto& self : names(members)) {
            auto state = makeFor(self, { "placement" });
            const auto rank = static_cast<int>(rendezvousRank("placement", names(members), self));
            CPPUNIT_ASSERT_EQUAL(rank == 0, !planMembership(state, members, at(0)).empty());
            if (rank > 0)
                CPPUNIT_ASSERT(planMembership(state, members, at(rank * 300 - 1)).empty());
            CPPUNIT_ASSERT_EQUAL(rank > 0, !planMembership(state, members, at(rank * 300)).empty());
        }
    }

    auto planMembership_lostEntry_dutiesAreSpread() -> void
    {
        const auto duties = dutyNames({ 900, 97 });
        auto members = makeMembers(10);
        for (const auto& duty : duties)
            members.m_duties[duty] = DutyRecord { "e0", 7 };
        members.m_entries["e0"].m_removedAt = 9;
        std::map<std::string, int> taken;
        for (const auto& [self, record] : members.m_entries) {
            if (self == "e0")
                continue;
            auto state = makeFor(self, duties);
            for (const auto& action : planMembership(state, members, at(0))) {
                CPPUNIT_ASSERT_EQUAL(Offset(7), action.m_epoch);
                ++taken[self];
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), taken.size());
        for (const auto& [self, count] : taken)
            CPPUNIT_ASSERT(count < 2 * 1000 / 9);
    }

    auto planMembership_anotherEntryPreferred_releasesOneDutyPerPeriod() -> void
    {
        const auto duties = dutyNames({ 16, 4 });
        auto members = makeMembers(2);
        for (const auto& duty : duties)
            members.m_duties[duty] = DutyRecord { "e0", 7 };
        auto state = makeFor("e0", duties);
        CPPUNIT_ASSERT(planMembership(state, members, at(59999)).empty());
        onPeerMessage(state, "e1", at(59999));
        const auto actions = planMembership(state, members, at(60000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(actions[0].m_step == MembershipStep::ReleaseDuty);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), rendezvousRank(actions[0].m_subject, names(members), "e1"));
        CPPUNIT_ASSERT(planMembership(state, members, at(60001)).empty());
    }

    auto foldGroup_racingTakeDuty_acceptsOne() -> void
    {
        FleetState fleet;
        for (const auto* id : { "e0", "e1" }) {
            wire::Operation join;
            join.mutable_join_entry()->set_instance(id);
            join.mutable_join_entry()->set_zone("z");
            join.mutable_join_entry()->set_address("x");
            CPPUNIT_ASSERT(fold(fleet, join) == ErrorKind::None);
        }
        wire::Operation take;
        take.mutable_take_duty()->set_duty("placement");
        take.mutable_take_duty()->set_instance("e0");
        CPPUNIT_ASSERT(fold(fleet, take) == ErrorKind::None);
        take.mutable_take_duty()->set_instance("e1");
        CPPUNIT_ASSERT(fold(fleet, take) == ErrorKind::StaleEpoch);
        CPPUNIT_ASSERT_EQUAL(std::string("e0"), fleet.m_membership.m_duties["placement"].m_holder);
    }

    auto planHandover_dutiesHeld_releasesThenLeaves() -> void
    {
        auto members = makeMembers(2);
        members.m_duties["placement"] = DutyRecord { "e0", 7 };
        members.m_duties["snapshots"] = DutyRecord { "e1", 8 };
        const auto state = makeFor("e0");
        auto actions = planHandover(state, members);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(actions[0].m_step == MembershipStep::ReleaseDuty);
        CPPUNIT_ASSERT_EQUAL(Offset(7), actions[0].m_epoch);
        members.m_duties["placement"].m_holder.clear();
        actions = planHandover(state, members);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(actions[0].m_step == MembershipStep::LeaveFleet);
    }

    auto rendezvousRank_entryAdded_movesOnlyToIt() -> void
    {
        const auto before = names(makeMembers(9));
        const auto after = names(makeMembers(10));
        for (const auto& duty : dutyNames({ 200, 50 }))
            for (const auto& entry : before)
                if (rendezvousRank(duty, after, entry) == 0)
                    CPPUNIT_ASSERT_EQUAL(std::size_t(0), rendezvousRank(duty, before, entry));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipPlanTest);

} // namespace hemlockvane
