#include "hemlockvane/shares.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace hemlockvane {

class SlotPlanTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SlotPlanTest);
    CPPUNIT_TEST(planSlots_teamsAtUnevenEntries_sharesHoldFleetWide);
    CPPUNIT_TEST(planSlots_full_neverExceedsSlotsOrConnections);
    CPPUNIT_TEST(planSlots_unchangedDemand_movesNothing);
    CPPUNIT_TEST(planSlots_noDemand_spreadsIdleSlotsEvenly);
    CPPUNIT_TEST(planSlots_executorWithoutSlots_getsNothing);
    CPPUNIT_TEST(planSlots_roomInOwnZone_staysThere);
    CPPUNIT_TEST_SUITE_END();

public:
    // Team "a" sends requests to entry 0 only, "b" to both; each is entitled to half of the fleet's slots.
    auto planSlots_teamsAtUnevenEntries_sharesHoldFleetWide() -> void
    {
        auto entries = twoEntries();
        entries[0].m_teams = { { "a", 100 }, { "b", 50 } };
        entries[1].m_teams = { { "b", 50 } };
        const auto plan = planSlots(entries, m_executors, {}, m_credits);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(12, plan.m_entitlement[0], 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4, plan.m_entitlement[1], 0.01);
        CPPUNIT_ASSERT_EQUAL(8000U, plan.m_shares.at("e0")[0].m_milliPermits);
        CPPUNIT_ASSERT_EQUAL(12U, total(plan, "e0"));
        CPPUNIT_ASSERT_EQUAL(4U, total(plan, "e1"));
    }

    auto planSlots_full_neverExceedsSlotsOrConnections() -> void
    {
        auto entries = twoEntries();
        entries[0].m_teams = { { "a", 100 } };
        entries[0].m_connections = { { "x0", 3 }, { "x1", 4 } };
        const auto plan = planSlots(entries, m_executors, {}, m_credits);
        CPPUNIT_ASSERT_EQUAL(3U, plan.m_targets.at("x0").at("e0"));
        CPPUNIT_ASSERT_EQUAL(4U, plan.m_targets.at("x1").at("e0"));
        for (const auto& [executor, targets] : plan.m_targets)
            CPPUNIT_ASSERT(targets.at("e0") + targets.at("e1") <= 8);
    }

    auto planSlots_unchangedDemand_movesNothing() -> void
    {
        auto entries = twoEntries();
        entries[0].m_teams = { { "a", 20 } };
        entries[1].m_teams = { { "a", 10 } };
        const auto first = planSlots(entries, m_executors, {}, m_credits);
        for (const auto& [executor, targets] : first.m_targets) {
            for (auto& entry : entries)
                entry.m_held[executor] = targets.at(entry.m_instance);
        }
        CPPUNIT_ASSERT(first.m_targets == planSlots(entries, m_executors, {}, m_credits).m_targets);
    }

    auto planSlots_noDemand_spreadsIdleSlotsEvenly() -> void
    {
        const auto plan = planSlots(twoEntries(), m_executors, {}, m_credits);
        CPPUNIT_ASSERT_EQUAL(8U, total(plan, "e0"));
        CPPUNIT_ASSERT_EQUAL(8U, total(plan, "e1"));
    }

    auto planSlots_executorWithoutSlots_getsNothing() -> void
    {
        auto entries = twoEntries();
        entries[0].m_teams = { { "a", 100 } };
        entries[0].m_held["x0"] = 8;
        m_executors[0].m_slots = 0;
        const auto plan = planSlots(entries, m_executors, {}, m_credits);
        CPPUNIT_ASSERT_EQUAL(0U, plan.m_targets.at("x0").at("e0"));
        CPPUNIT_ASSERT_EQUAL(8U, plan.m_targets.at("x1").at("e0"));
    }

    auto planSlots_roomInOwnZone_staysThere() -> void
    {
        auto entries = twoEntries();
        entries[1].m_teams = { { "a", 5 } };
        entries.erase(entries.begin());
        m_executors[0].m_slots = 5;
        const auto plan = planSlots(entries, m_executors, {}, m_credits);
        CPPUNIT_ASSERT_EQUAL(8U, plan.m_targets.at("x1").at("e1"));
    }

private:
    static auto twoEntries() -> std::vector<SlotEntry>
    {
        return { { "e0", "z0", {}, {}, { { "x0", 8 }, { "x1", 8 } } },
            { "e1", "z1", {}, {}, { { "x0", 8 }, { "x1", 8 } } } };
    }

    static auto total(const SlotPlan& plan, const std::string& instance) -> std::uint32_t
    {
        std::uint32_t sum = 0;
        for (const auto& [executor, targets] : plan.m_targets)
            sum += targets.at(instance);
        return sum;
    }

    std::vector<SlotExecutor> m_executors { { "x0", "z0", 8 }, { "x1", "z1", 8 } };
    std::vector<double> m_credits { 0, 0 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotPlanTest);

} // namespace hemlockvane
