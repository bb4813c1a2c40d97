#include "core/fleet/FleetFixture.h"

#include "hemlockvane/pools.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane {

class PlanMovesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlanMovesTest);
    CPPUNIT_TEST(plan_shortDemandSpike_movesNothing);
    CPPUNIT_TEST(plan_sustainedDemand_isFilledFromSpareFirst);
    CPPUNIT_TEST(plan_spareEmpty_takesFromPoolWithMostBeyondItsPeak);
    CPPUNIT_TEST(plan_demandDroppedRecently_poolKeepsItsPeak);
    CPPUNIT_TEST(plan_demandDrops_movesNothingBack);
    CPPUNIT_TEST(plan_recordsInFlight_countForReceivingPool);
    CPPUNIT_TEST(plan_severalPoolsShort_largestShortageIsFilledFirst);
    CPPUNIT_TEST(plan_everyMove_isAcceptedByFoldAndLeavesOnePool);
    CPPUNIT_TEST(plan_mayNotAct_doesNothing);
    CPPUNIT_TEST(requiredSpareInstances_poolsInDifferentRacks_shareOneBuffer);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        for (auto i = 0; i < 4; ++i) {
            const auto suffix = std::to_string(i);
            m_fleet.addInstance("o" + suffix, "orders", "z" + suffix, "ro" + suffix);
            m_fleet.addInstance("s" + suffix, "shade", "z" + suffix, "rs" + suffix);
        }
        m_fleet.addInstance("x0", "spare", "z0", "rx0");
        m_fleet.addInstance("x1", "spare", "z1", "rx1");
        m_fleet.setException("pool.spare", "spare", 1);
        m_input.m_mayAct = true;
        m_input.m_demand = { { "orders", 3 }, { "shade", 3 } };
        recordInitialDemand();
    }

    auto plan_shortDemandSpike_movesNothing() -> void
    {
        m_input.m_demand["orders"] = 15;
        CPPUNIT_ASSERT(plan().empty());
        m_fleet.m_now += 5000;
        CPPUNIT_ASSERT(plan().empty());
        m_input.m_demand["orders"] = 1;
        m_fleet.m_now += 60000;
        CPPUNIT_ASSERT(plan().empty());
    }

    auto plan_sustainedDemand_isFilledFromSpareFirst() -> void
    {
        const auto moves = planSustained("orders", 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), moves.size());
        CPPUNIT_ASSERT_EQUAL(std::string("spare"), moves[0].m_from);
        CPPUNIT_ASSERT_EQUAL(std::string("orders"), moves[0].m_to);
    }

    auto plan_spareEmpty_takesFromPoolWithMostBeyondItsPeak() -> void
    {
        const auto moves = planSustained("orders", 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), moves.size());
        CPPUNIT_ASSERT_EQUAL(std::string("shade"), moves[2].m_from);
    }

    auto plan_demandDroppedRecently_poolKeepsItsPeak() -> void
    {
        m_input.m_demand["shade"] = 0;
        const auto moves = planSustained("orders", 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), moves.size());
    }

    auto plan_demandDrops_movesNothingBack() -> void
    {
        applyRecords(planSustained("orders", 6));
        m_input.m_demand["orders"] = 0;
        m_fleet.m_now += 3600000;
        CPPUNIT_ASSERT(plan().empty());
    }

    auto plan_recordsInFlight_countForReceivingPool() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), planSustained("orders", 5).size());
        CPPUNIT_ASSERT(plan().empty());
    }

    auto plan_severalPoolsShort_largestShortageIsFilledFirst() -> void
    {
        m_input.m_demand["shade"] = 8;
        const auto moves = planSustained("orders", 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), moves.size());
        CPPUNIT_ASSERT_EQUAL(std::string("shade"), moves[0].m_to);
        CPPUNIT_ASSERT_EQUAL(std::string("shade"), moves[1].m_to);
    }

    auto plan_everyMove_isAcceptedByFoldAndLeavesOnePool() -> void
    {
        m_fleet.setException("pool.demand", "shade", 4);
        applyRecords(planSustained("orders", 7));
        CPPUNIT_ASSERT_EQUAL(7U, sizeOf(m_fleet.m_state.m_pools, "orders"));
        CPPUNIT_ASSERT_EQUAL(10U,
            sizeOf(m_fleet.m_state.m_pools, "orders") + sizeOf(m_fleet.m_state.m_pools, "shade")
                + sizeOf(m_fleet.m_state.m_pools, "spare"));
    }

    auto plan_mayNotAct_doesNothing() -> void
    {
        m_input.m_mayAct = false;
        CPPUNIT_ASSERT(planSustained("orders", 5).empty());
    }

    auto requiredSpareInstances_poolsInDifferentRacks_shareOneBuffer() -> void
    {
        // The failure of a rack takes 1 of the 8 instances, and the spare instances are in racks of their own. The
        // failure of a zone takes 2 of the 8 and some of the spare instances.
        const DemandByPool demand { { "orders", 4 }, { "shade", 4 } };
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), requiredSpareInstances(m_fleet.m_state, demand, false, 0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), requiredSpareInstances(m_fleet.m_state, demand, true, 0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), requiredSpareInstances(m_fleet.m_state, demand, true, 2));
    }

private:
    auto plan() -> std::vector<MoveAction>
    {
        m_input.m_now = m_fleet.m_now;
        return planMoves(m_fleet.m_state, m_state, m_input);
    }

    auto recordInitialDemand() -> void { CPPUNIT_ASSERT(plan().empty()); }

    auto planSustained(const std::string& pool, std::int64_t demand) -> std::vector<MoveAction>
    {
        m_input.m_demand[pool] = demand;
        plan();
        m_fleet.m_now += m_state.m_limits.m_shortageDelay;
        return plan();
    }

    auto applyRecords(const std::vector<MoveAction>& moves) -> void
    {
        for (const auto& move : moves) {
            CPPUNIT_ASSERT(m_fleet.move(move.m_instance, move.m_to).m_error == ErrorKind::None);
            onMoveRecorded(m_state, move.m_instance, true, m_fleet.m_now);
        }
    }

    FleetFixture m_fleet;
    MovePlanState m_state;
    MoveInput m_input;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlanMovesTest);

} // namespace hemlockvane
