#include "core/placement/PlacementFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane {

class PlanPlacementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlanPlacementTest);
    CPPUNIT_TEST(plan_notVouched_doesNothing);
    CPPUNIT_TEST(plan_placedJob_startsOnlyAfterReadBack);
    CPPUNIT_TEST(plan_permitsUsedUp_placesNoMore);
    CPPUNIT_TEST(plan_sameTeam_isSpreadOverZones);
    CPPUNIT_TEST(plan_tooLargeForFleet_isNeverRunnableAtOnce);
    CPPUNIT_TEST(plan_deadlinePassedWhileWaiting_isParked);
    CPPUNIT_TEST(plan_silentWorker_isGivenNothing);
    CPPUNIT_TEST(plan_failedJob_waitsForBackoffAndAvoidsWorker);
    CPPUNIT_TEST(plan_teamsWithEqualShares_fillEqually);
    CPPUNIT_TEST(plan_teamOverShare_isThrottledThenCheckpointedThenStopped);
    CPPUNIT_TEST(plan_throttledTeamNoLongerOver_isReleased);
    CPPUNIT_TEST(plan_workerOverMemory_pressesTaskThatExceedsItsDeclaration);
    CPPUNIT_TEST(plan_urgentOnFullFleet_startsWithinBound);
    CPPUNIT_TEST(plan_urgentOverNonRepeatable_neverStopsIt);
    CPPUNIT_TEST(plan_cancelledRunningJob_isStopped);
    CPPUNIT_TEST(plan_drainingWorker_checkpointsItsTasks);
    CPPUNIT_TEST(plan_overstatedSizes_areLearnedAndPackedTighter);
    CPPUNIT_TEST_SUITE_END();

public:
    auto plan_notVouched_doesNothing() -> void
    {
        m_world.addWorkers(1);
        m_world.m_fleet.submit("j", "t", 4);
        m_world.m_mayPlace = false;
        CPPUNIT_ASSERT(m_world.plan().empty());
    }

    auto plan_placedJob_startsOnlyAfterReadBack() -> void
    {
        m_world.addWorkers(1);
        m_world.m_fleet.submit("j", "t", 4);
        const auto actions = m_world.plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == PlacementActionKind::PlaceJob);
        CPPUNIT_ASSERT(m_world.plan().empty());
        m_world.record(actions[0]);
        CPPUNIT_ASSERT(m_world.m_workers.at("w0").m_tasks.contains("j"));
    }

    auto plan_permitsUsedUp_placesNoMore() -> void
    {
        m_world.addWorkers(1);
        m_world.m_permits = 2;
        for (auto i = 0; i < 5; ++i)
            m_world.m_fleet.submit("j" + std::to_string(i), "t", 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_world.plan().size());
    }

    auto plan_sameTeam_isSpreadOverZones() -> void
    {
        m_world.addWorkers(4);
        for (auto i = 0; i < 4; ++i)
            m_world.m_fleet.submit("j" + std::to_string(i), "t", 4);
        std::set<std::string> zones;
        for (const auto& action : m_world.plan())
            zones.insert(m_world.m_fleet.instance(action.m_worker).m_zone);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), zones.size());
    }

    auto plan_tooLargeForFleet_isNeverRunnableAtOnce() -> void
    {
        m_world.addWorkers(1);
        m_world.m_fleet.submit("j", "t", 33);
        const auto actions = m_world.plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(actions[0].m_outcome == AttemptOutcome::NeverRunnable);
        CPPUNIT_ASSERT(actions[0].m_reason.find("32 cores") != std::string::npos);
    }

    auto plan_deadlinePassedWhileWaiting_isParked() -> void
    {
        m_world.addWorkers(1);
        m_world.m_fleet.submit("j", "t", 4);
        m_world.m_fleet.m_state.m_jobs.m_jobs.at("j").m_deadlineAt = m_world.m_fleet.m_now + 1;
        m_world.advance(Duration(1000));
        m_world.step();
        CPPUNIT_ASSERT(m_world.m_fleet.job("j").m_status == JobStatus::Parked);
    }

    auto plan_silentWorker_isGivenNothing() -> void
    {
        m_world.addWorkers(1);
        m_world.advance(Duration(4000));
        m_world.m_fleet.submit("j", "t", 4);
        CPPUNIT_ASSERT(m_world.plan().empty());
    }

    auto plan_failedJob_waitsForBackoffAndAvoidsWorker() -> void
    {
        m_world.addWorkers(2);
        m_world.m_fleet.submit("j", "t", 4);
        m_world.step();
        const auto first = m_world.m_fleet.job("j").m_worker;
        m_world.endTask("j", TaskPhase::Failed);
        m_world.step();
        CPPUNIT_ASSERT(m_world.m_fleet.job("j").m_status == JobStatus::Queued);
        m_world.advance(Duration(1100));
        m_world.step();
        CPPUNIT_ASSERT(m_world.m_fleet.job("j").m_status == JobStatus::Running);
        CPPUNIT_ASSERT(m_world.m_fleet.job("j").m_worker != first);
    }

    auto plan_teamsWithEqualShares_fillEqually() -> void
    {
        m_world.addWorkers(1);
        for (auto i = 0; i < 20; ++i) {
            m_world.m_fleet.submit("a" + std::to_string(i), "ta", 4);
            m_world.m_fleet.submit("b" + std::to_string(i), "tb", 4);
        }
        m_world.step();
        CPPUNIT_ASSERT_EQUAL(4, m_world.runningOf("ta"));
        CPPUNIT_ASSERT_EQUAL(4, m_world.runningOf("tb"));
    }

    auto plan_teamOverShare_isThrottledThenCheckpointedThenStopped() -> void
    {
        fillByOneTeam();
        m_world.m_fleet.submit("late", "tb", 8);
        m_world.m_workersObey = false;
        m_world.stepFor(Duration(6000));
        const std::vector<PlacementActionKind> expected { PlacementActionKind::ThrottleTask,
            PlacementActionKind::CheckpointTask, PlacementActionKind::StopTask };
        auto steps = m_world.sentFor("a7");
        steps.resize(expected.size());
        CPPUNIT_ASSERT(steps == expected);
        m_world.m_workersObey = true;
        m_world.stepFor(Duration(4000));
        CPPUNIT_ASSERT(m_world.m_fleet.job("late").m_status == JobStatus::Running);
    }

    auto plan_throttledTeamNoLongerOver_isReleased() -> void
    {
        fillByOneTeam();
        m_world.m_fleet.submit("late", "tb", 8);
        m_world.step();
        m_world.cancel("late", "tb");
        m_world.step();
        CPPUNIT_ASSERT(m_world.sentFor("a7").back() == PlacementActionKind::ReleaseTask);
    }

    auto plan_workerOverMemory_pressesTaskThatExceedsItsDeclaration() -> void
    {
        m_world.addWorkers(1);
        m_world.m_fleet.submit("modest", "t", 4);
        m_world.m_fleet.submit("greedy", "t", 4);
        m_world.step();
        m_world.task("modest").m_memoryMb = 16 * 1024;
        m_world.task("greedy").m_memoryMb = 120 * 1024;
        m_world.advance(Duration(1000));
        m_world.step();
        CPPUNIT_ASSERT(m_world.sentFor("greedy").back() == PlacementActionKind::ThrottleTask);
        CPPUNIT_ASSERT(m_world.sentFor("modest").empty());
    }

    auto plan_urgentOnFullFleet_startsWithinBound() -> void
    {
        constexpr Duration urgentBound { 7400 };
        fillByOneTeam();
        m_world.m_checkpointsWork = false;
        m_world.m_fleet.submit("urgent", "tb", 16, true, true);
        const auto begin = m_world.m_now;
        while (m_world.m_fleet.job("urgent").m_status != JobStatus::Running && m_world.m_now - begin < urgentBound)
            m_world.stepFor(Duration(500));
        CPPUNIT_ASSERT(m_world.m_fleet.job("urgent").m_status == JobStatus::Running);
        CPPUNIT_ASSERT(m_world.m_now - begin <= urgentBound);
    }

    auto plan_urgentOverNonRepeatable_neverStopsIt() -> void
    {
        m_world.addWorkers(1);
        m_world.m_fleet.submit("hold", "ta", 32, false);
        m_world.step();
        m_world.m_checkpointsWork = false;
        m_world.m_fleet.submit("urgent", "tb", 16, true, true);
        m_world.stepFor(Duration(20000));
        for (const auto kind : m_world.sentFor("hold"))
            CPPUNIT_ASSERT(kind == PlacementActionKind::CheckpointTask);
        CPPUNIT_ASSERT(m_world.m_fleet.job("hold").m_status == JobStatus::Running);
    }

    auto plan_cancelledRunningJob_isStopped() -> void
    {
        m_world.addWorkers(1);
        m_world.m_fleet.submit("j", "t", 4);
        m_world.step();
        m_world.cancel("j", "t");
        m_world.stepFor(Duration(2000));
        CPPUNIT_ASSERT(m_world.m_fleet.job("j").m_status == JobStatus::Cancelled);
    }

    auto plan_drainingWorker_checkpointsItsTasks() -> void
    {
        m_world.addWorkers(2);
        m_world.m_fleet.submit("j", "t", 4);
        m_world.step();
        const auto first = m_world.m_fleet.job("j").m_worker;
        m_world.m_fleet.startWave("wave");
        m_world.m_fleet.beginDrain("wave", first);
        m_world.stepFor(Duration(4000));
        CPPUNIT_ASSERT(m_world.m_fleet.job("j").m_status == JobStatus::Running);
        CPPUNIT_ASSERT(m_world.m_fleet.job("j").m_worker != first);
        CPPUNIT_ASSERT(m_world.m_fleet.job("j").m_failedOn.empty());
    }

    auto plan_overstatedSizes_areLearnedAndPackedTighter() -> void
    {
        m_world.addWorkers(1);
        for (auto i = 0; i < 10; ++i) {
            const auto id = "first" + std::to_string(i);
            m_world.m_fleet.submit(id, "t", 16);
            m_world.step();
            m_world.task(id).m_milliCores = 2000;
            m_world.task(id).m_memoryMb = 8 * 1024;
            m_world.endTask(id, TaskPhase::Finished);
            m_world.stepFor(Duration(1500));
        }
        for (auto i = 0; i < 20; ++i)
            m_world.m_fleet.submit("j" + std::to_string(i), "t", 16);
        m_world.step();
        CPPUNIT_ASSERT_EQUAL(16, m_world.runningOf("t"));
    }

private:
    auto fillByOneTeam() -> void
    {
        m_world.addWorkers(1);
        for (auto i = 0; i < 8; ++i) {
            m_world.m_fleet.submit("a" + std::to_string(i), "ta", 4);
            m_world.step();
        }
    }

    PlacementFixture m_world;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlanPlacementTest);

} // namespace hemlockvane
