#include "hemlockvane/scheduling/Evacuate.h"

#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/AttemptLimits.h"
#include "hemlockvane/scheduling/CheckStart.h"
#include "hemlockvane/scheduling/MeasureDemand.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace hemlockvane::scheduling {

/// Two executors in the zone "north" and two in "south", of which "north" is evacuated.
class EvacuateZonesTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(EvacuateZonesTest);
    CPPUNIT_TEST(start_zoneEvacuated_goesElsewhere);
    CPPUNIT_TEST(start_allZonesEvacuated_waits);
    CPPUNIT_TEST(start_decidedBeforeEvacuation_isNotSent);
    CPPUNIT_TEST(start_zoneRestored_goesThere);
    CPPUNIT_TEST(executor_joinsEvacuatedZone_getsNoStart);
    CPPUNIT_TEST(executor_movedToOtherZone_getsStarts);
    CPPUNIT_TEST(shortTask_zoneEvacuated_goesOn);
    CPPUNIT_TEST(longRunningTasks_zoneEvacuated_areStoppedWithinTheirLimit);
    CPPUNIT_TEST(longRunningTasks_noRoomElsewhere_goOn);
    CPPUNIT_TEST(longRunningTasks_roomForOneElsewhere_onlyOneIsStopped);
    CPPUNIT_TEST(longRunningTasks_noExecutorElsewhere_wantMachines);
    CPPUNIT_TEST(shortTask_executorCold_prefersOther);
    CPPUNIT_TEST(heartbeat_coldTimeChanges_entryVersionStays);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        SchedulerFixture::setUp();
        addExecutor("e2");
        addExecutor("e3");
        for (ExecutorIndex index = 0; index < m_scheduler.m_executors.size(); ++index)
            setZone(index, index < 2 ? "north" : "south");
    }

    auto start_zoneEvacuated_goesElsewhere() -> void
    {
        evacuateNorth();
        submit({ step(4, 1000) });
        const auto planned = starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, planned.size());
        for (const auto& start : planned)
            CPPUNIT_ASSERT(start.m_executor >= 2);
    }

    // Guards against a fallback to an evacuated zone when nothing else is left.
    auto start_allZonesEvacuated_waits() -> void
    {
        evacuate({ "north", "south" });
        submit({ step(1, 1000) });
        CPPUNIT_ASSERT(starts().empty());
    }

    // Guards against starts that were decided before the evacuation was known and wait for a connection.
    auto start_decidedBeforeEvacuation_isNotSent() -> void
    {
        submit({ step(8, 4000) });
        const auto planned = starts();
        evacuateNorth();
        for (const auto& start : planned) {
            const auto obstacle = obstacleToStart(m_scheduler, start, 1, m_now);
            CPPUNIT_ASSERT_EQUAL(start.m_executor < 2, !obstacle.empty());
        }
    }

    auto start_zoneRestored_goesThere() -> void
    {
        evacuate({ "north", "south" });
        submit({ step(1, 1000) });
        CPPUNIT_ASSERT(starts().empty());
        evacuate({});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    // Guards against executors that register while their zone is evacuated, such as those of moved machines.
    auto executor_joinsEvacuatedZone_getsNoStart() -> void
    {
        evacuate({ "north", "south", "west" });
        setZone(addExecutor("e4"), "west");
        submit({ step(1, 1000) });
        CPPUNIT_ASSERT(starts().empty());
    }

    auto executor_movedToOtherZone_getsStarts() -> void
    {
        evacuate({ "north", "south" });
        setZone(0, "west");
        submit({ step(1, 1000) });
        CPPUNIT_ASSERT_EQUAL(ExecutorIndex { 0 }, starts().at(0).m_executor);
    }

    auto shortTask_zoneEvacuated_goesOn() -> void
    {
        submit({ step(8, 4000) });
        answerStarts(starts());
        evacuateNorth();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, evacuateZones(m_scheduler));
    }

    // Guards against an evacuation that makes more tasks of a step unavailable than its limit allows.
    auto longRunningTasks_zoneEvacuated_areStoppedWithinTheirLimit() -> void
    {
        startServing(2, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, evacuateZones(m_scheduler));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, evacuateZones(m_scheduler));
    }

    // Guards against service that is lost because a task is stopped that cannot run anywhere else.
    auto longRunningTasks_noRoomElsewhere_goOn() -> void
    {
        startServing(2, 0);
        m_scheduler.m_executors[2]->m_isUnresponsive = true;
        m_scheduler.m_executors[3]->m_isReserved = true;
        plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, evacuateZones(m_scheduler));
    }

    auto longRunningTasks_roomForOneElsewhere_onlyOneIsStopped() -> void
    {
        startServing(2, 2);
        m_scheduler.m_executors[3]->m_isReserved = true;
        plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, evacuateZones(m_scheduler));
    }

    auto longRunningTasks_noExecutorElsewhere_wantMachines() -> void
    {
        startServing(2, 0);
        CPPUNIT_ASSERT_EQUAL(2U, measureDemand(m_scheduler, m_now).at("counter").m_executorsForLongRunning.at(""));
    }

    auto shortTask_executorCold_prefersOther() -> void
    {
        for (ExecutorIndex index = 0; index < 3; ++index)
            reportCold(index, 5000);
        submit({ step(1, 1000) });
        CPPUNIT_ASSERT_EQUAL(ExecutorIndex { 3 }, starts().at(0).m_executor);
    }

    // Guards against a rebuild of the index of executors with each heartbeat of a cold executor.
    auto heartbeat_coldTimeChanges_entryVersionStays() -> void
    {
        reportCold(0, 5000);
        const auto version = m_scheduler.m_executors[0]->m_entryVersion;
        reportCold(0, 3500);
        CPPUNIT_ASSERT_EQUAL(version, m_scheduler.m_executors[0]->m_entryVersion);
        CPPUNIT_ASSERT(m_scheduler.m_executors[0]->m_coldUntil == m_now + Duration(3500));
    }

private:
    auto setZone(ExecutorIndex index, const std::string& zone) -> void
    {
        auto entry = m_scheduler.m_executors[index]->m_entry;
        entry.m_zone = zone;
        registerExecutor(m_scheduler, entry, m_now, m_now);
    }

    auto reportCold(ExecutorIndex index, std::int64_t remainingMs) -> void
    {
        auto entry = m_scheduler.m_executors[index]->m_entry;
        entry.m_remainingColdMs = remainingMs;
        registerExecutor(m_scheduler, entry, m_now, m_now);
    }

    auto evacuate(std::set<std::string> zones) -> void
    {
        auto rules = m_scheduler.m_rules;
        rules.m_evacuatedZones = std::move(zones);
        applyRules(m_scheduler, rules, m_wall);
    }

    auto evacuateNorth() -> void { evacuate({ "north" }); }

    // Starts long-running tasks, one on each executor, in the north; then the zone is evacuated.
    auto startServing(std::uint32_t tasks, std::uint32_t maxUnavailable) -> void
    {
        evacuate({ "south" });
        auto serving = step(tasks, 1000);
        serving.m_isLongRunning = true;
        serving.m_perExecutorLimit = 1;
        serving.m_maxUnavailable = maxUnavailable;
        submit({ serving });
        const auto planned = starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t { tasks }, planned.size());
        answerStarts(planned);
        for (const auto& start : planned)
            report(start.m_executor, { { start.m_task, start.m_run, {}, 100, 0 } });
        evacuateNorth();
        plan();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuateZonesTest);

} // namespace hemlockvane::scheduling
