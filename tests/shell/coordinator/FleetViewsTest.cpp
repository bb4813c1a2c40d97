#include "hemlockvane/detail/coordinator/FleetViews.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/fleet/FleetAction.h"
#include "hemlockvane/fleet/FleetView.h"
#include "hemlockvane/fleet/PlanMachineWave.h"
#include "hemlockvane/fleet/PlanPoolMoves.h"
#include "hemlockvane/fleet/ReadMachines.h"
#include "hemlockvane/scheduling/TrackExecutors.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace hemlockvane::detail {

/// An owner that took over a short time ago and has not heard from an executor yet.
class FleetViewsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FleetViewsTest);
    CPPUNIT_TEST(executor_notAnsweredYet_machineIsNotMoved);
    CPPUNIT_TEST(executor_notAnsweredYet_machineIsNotMaintained);
    CPPUNIT_TEST(executor_notAnsweredYet_countsAsCapacity);
    CPPUNIT_TEST(executor_capacityShrinks_poolShrinks);
    CPPUNIT_TEST(executor_joinsAfterTheList_machineIsNotMaintainedBeforeTheNext);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_now = monotonicNow();
        m_state = std::make_shared<CoordinatorState>(m_context, CoordinatorPorts {}, 2);
        m_state->m_scheduler.m_rules.m_services = { "counter", "spare" };
        m_state->m_scheduler.m_rules.m_spareServices = { "spare" };
        for (const std::string id : { "m1", "m2", "m3" }) {
            m_state->m_fleet.m_machines.m_newest.m_machines.push_back(
                { id, "counter", fleet::MachineState::Up, "z", {}, { machineMilliCores, 16000, 0 }, "of-" + id });
            scheduling::ExecutorEntry entry;
            entry.m_id = "of-" + id;
            entry.m_startedAtMs = 1;
            entry.m_service = "counter";
            entry.m_capacity = { machineMilliCores, 16000, 0 };
            scheduling::registerExecutor(m_state->m_scheduler, entry, m_now + leasesOfEarlierOwners, m_now);
        }
    }

    // Guards against a move of a machine that looks empty, which ends whatever runs there.
    auto executor_notAnsweredYet_machineIsNotMoved() -> void
    {
        moves();
        m_now += idleTime;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, moves().size());
        answer();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, moves().size());
    }

    auto executor_notAnsweredYet_machineIsNotMaintained() -> void
    {
        m_state->m_fleet.m_reserved.insert("m1");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, maintenance().size());
        answer();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, maintenance().size());
    }

    // Guards against moves of further machines to a pool whose executors have not answered yet.
    auto executor_notAnsweredYet_countsAsCapacity() -> void
    {
        const auto view = buildFleetView(*m_state, m_now);
        CPPUNIT_ASSERT_EQUAL(3 * machineMilliCores, view.m_pools.at("counter").m_capacityMilliCores);
    }

    // Guards against waiting tasks for which no machine is moved, since the pool seems to have room.
    auto executor_capacityShrinks_poolShrinks() -> void
    {
        auto entry = m_state->m_scheduler.m_executors[0]->m_entry;
        entry.m_capacity.m_cpuMilliCores = machineMilliCores / 4;
        scheduling::registerExecutor(m_state->m_scheduler, entry, m_now, m_now);
        const auto view = buildFleetView(*m_state, m_now);
        CPPUNIT_ASSERT_EQUAL(
            2 * machineMilliCores + machineMilliCores / 4, view.m_pools.at("counter").m_capacityMilliCores);
    }

    // Guards against an upkeep that ends tasks: a machine that is back with another executor looked empty by the list
    // that names the earlier one.
    auto executor_joinsAfterTheList_machineIsNotMaintainedBeforeTheNext() -> void
    {
        answer();
        m_state->m_fleet.m_reserved.insert("m1");
        auto& history = m_state->m_fleet.m_machines;
        history.m_newest.m_askedAt = m_now;
        fleet::noteJoined(history, "m1", "next-of-m1", m_now + Duration(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, maintenance().size());
        auto next = history.m_newest;
        next.m_machines.front().m_executorId = "next-of-m1";
        next.m_askedAt = m_now + Duration(200);
        fleet::recordList(history, next);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, maintenance().size());
    }

private:
    static constexpr std::int64_t machineMilliCores = 32000;
    static constexpr Duration idleTime { 60000 };
    static constexpr Duration leasesOfEarlierOwners { 90000 };

    auto answer() -> void
    {
        for (scheduling::ExecutorIndex index = 0; index < m_state->m_scheduler.m_executors.size(); ++index) {
            scheduling::ExecutorReport report;
            report.m_clockMs = 1;
            report.m_startedAtMs = 1;
            std::vector<scheduling::Action> actions;
            scheduling::applyReport(m_state->m_scheduler, index, report, m_now, 0, actions);
        }
    }

    auto moves() -> std::vector<fleet::FleetAction>
    {
        std::vector<fleet::FleetAction> actions;
        fleet::planPoolMoves(buildFleetView(*m_state, m_now), {}, m_now, actions);
        return actions;
    }

    auto maintenance() -> std::vector<fleet::FleetAction>
    {
        fleet::WaveState wave;
        wave.m_order = { 3, { "m1" }, Duration(20000), 1 };
        wave.m_seenAt = m_now;
        std::vector<fleet::FleetAction> actions;
        fleet::planMachineWave(buildFleetView(*m_state, m_now), wave, {}, m_now, actions);
        return actions;
    }

    boost::asio::io_context m_context;
    std::shared_ptr<CoordinatorState> m_state;
    Instant m_now;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetViewsTest);

} // namespace hemlockvane::detail
