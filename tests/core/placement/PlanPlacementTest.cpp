#include "core/placement/PlacementFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane {

class PlanPlacementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlanPlacementTest);
    CPPUNIT_TEST(plan_mayNotPlace_doesNothing);
    CPPUNIT_TEST(plan_placedJob_startsOnlyAfterReadBack);
    CPPUNIT_TEST(plan_permitsUsedUp_placesNoMore);
    CPPUNIT_TEST(plan_sameTeam_isSpreadOverZones);
    CPPUNIT_TEST(plan_tooLargeForFleet_isNeverRunnableAtOnce);
    CPPUNIT_TEST(plan_deadlinePassedWhileWaiting_isParked);
    CPPUNIT_TEST(plan_workerWithoutRecentReport_receivesNoJobs);
    CPPUNIT_TEST(plan_failedJob_waitsForBackoffAndAvoidsWorker);
    CPPUNIT_TEST(plan_teamsWithEqualShares_fillEqually);
    CPPUNIT_TEST(plan_teamOverShare_isThrottledThenCheckpointedThenStopped);
    CPPUNIT_TEST(plan_throttledTeamNoLongerOverShare_isUnthrottled);
    CPPUNIT_TEST(plan_workerOverMemory_preemptsTaskAboveItsDeclaredSize);
    CPPUNIT_TEST(plan_urgentOnFullFleet_startsWithinBound);
    CPPUNIT_TEST(plan_urgentOverNonRepeatable_neverStopsIt);
    CPPUNIT_TEST(plan_cancelledRunningJob_isStopped);
    CPPUNIT_TEST(plan_drainingWorker_checkpointsItsTasks);
    CPPUNIT_TEST(plan_overdeclaredSizes_arePackedByMeasuredUsage);
    CPPUNIT_TEST_SUITE_END();

public:
    auto plan_mayNotPlace_doesNothing() -> void
    {
        m_fixture.addWorkers(1);
        m_fixture.m_fleet.submit("j", "t", 4);
        m_fixture.m_mayPlace = false;
        CPPUNIT_ASSERT(m_fixture.plan().empty());
    }

    auto plan_placedJob_startsOnlyAfterReadBack() -> void
    {
        m_fixture.addWorkers(1);
        m_fixture.m_fleet.submit("j", "t", 4);
        const auto actions = m_fixture.plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == PlacementActionKind::PlaceJob);
        CPPUNIT_ASSERT(m_fixture.plan().empty());
        m_fixture.perform(actions[0]);
        CPPUNIT_ASSERT(m_fixture.m_workers.at("w0").m_tasks.contains("j"));
    }

    auto plan_permitsUsedUp_placesNoMore() -> void
    {
        m_fixture.addWorkers(1);
        m_fixture.m_permits = 2;
        for (auto i = 0; i < 5; ++i)
            m_fixture.m_fleet.submit("j" + std::to_string(i), "t", 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_fixture.plan().size());
    }

    auto plan_sameTeam_isSpreadOverZones() -> void
    {
        m_fixture.addWorkers(4);
        for (auto i = 0; i < 4; ++i)
            m_fixture.m_fleet.submit("j" + std::to_string(i), "t", 4);
        std::set<std::string> zones;
        for (const auto& action : m_fixture.plan())
            zones.insert(m_fixture.m_fleet.instance(action.m_worker).m_zone);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), zones.size());
    }

    auto plan_tooLargeForFleet_isNeverRunnableAtOnce() -> void
    {
        m_fixture.addWorkers(1);
        m_fixture.m_fleet.submit("j", "t", 33);
        const auto actions = m_fixture.plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(actions[0].m_outcome == AttemptOutcome::NeverRunnable);
        CPPUNIT_ASSERT(actions[0].m_reason.find("32 cores") != std::string::npos);
    }

    auto plan_deadlinePassedWhileWaiting_isParked() -> void
    {
        m_fixture.addWorkers(1);
        m_fixture.m_fleet.submit("j", "t", 4);
        m_fixture.m_fleet.m_state.m_jobs.m_jobs.at("j").m_deadlineAt = m_fixture.m_fleet.m_now + 1;
        m_fixture.advance(Duration(1000));
        m_fixture.step();
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("j").m_status == JobStatus::Parked);
    }

    auto plan_workerWithoutRecentReport_receivesNoJobs() -> void
    {
        m_fixture.addWorkers(1);
        m_fixture.advance(Duration(4000));
        m_fixture.m_fleet.submit("j", "t", 4);
        CPPUNIT_ASSERT(m_fixture.plan().empty());
    }

    auto plan_failedJob_waitsForBackoffAndAvoidsWorker() -> void
    {
        m_fixture.addWorkers(2);
        m_fixture.m_fleet.submit("j", "t", 4);
        m_fixture.step();
        const auto first = m_fixture.m_fleet.job("j").m_worker;
        m_fixture.endTask("j", TaskPhase::Failed);
        m_fixture.step();
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("j").m_status == JobStatus::Queued);
        m_fixture.advance(Duration(1100));
        m_fixture.step();
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("j").m_status == JobStatus::Running);
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("j").m_worker != first);
    }

    auto plan_teamsWithEqualShares_fillEqually() -> void
    {
        m_fixture.addWorkers(1);
        for (auto i = 0; i < 20; ++i) {
            m_fixture.m_fleet.submit("a" + std::to_string(i), "ta", 4);
            m_fixture.m_fleet.submit("b" + std::to_string(i), "tb", 4);
        }
        m_fixture.step();
        CPPUNIT_ASSERT_EQUAL(4, m_fixture.runningOf("ta"));
        CPPUNIT_ASSERT_EQUAL(4, m_fixture.runningOf("tb"));
    }

    auto plan_teamOverShare_isThrottledThenCheckpointedThenStopped() -> void
    {
        fillByOneTeam();
        m_fixture.m_fleet.submit("late", "tb", 8);
        m_fixture.m_workersComply = false;
        m_fixture.stepFor(Duration(6000));
        const std::vector<PlacementActionKind> expected { PlacementActionKind::ThrottleTask,
            PlacementActionKind::CheckpointTask, PlacementActionKind::StopTask };
        auto steps = m_fixture.preemptionsSentFor("a7");
        steps.resize(expected.size());
        CPPUNIT_ASSERT(steps == expected);
        m_fixture.m_workersComply = true;
        m_fixture.stepFor(Duration(4000));
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("late").m_status == JobStatus::Running);
    }

    auto plan_throttledTeamNoLongerOverShare_isUnthrottled() -> void
    {
        fillByOneTeam();
        m_fixture.m_fleet.submit("late", "tb", 8);
        m_fixture.step();
        m_fixture.cancel("late", "tb");
        m_fixture.step();
        CPPUNIT_ASSERT(m_fixture.preemptionsSentFor("a7").back() == PlacementActionKind::UnthrottleTask);
    }

    auto plan_workerOverMemory_preemptsTaskAboveItsDeclaredSize() -> void
    {
        m_fixture.addWorkers(1);
        m_fixture.m_fleet.submit("modest", "t", 4);
        m_fixture.m_fleet.submit("greedy", "t", 4);
        m_fixture.step();
        m_fixture.task("modest").m_memoryMb = 16 * 1024;
        m_fixture.task("greedy").m_memoryMb = 120 * 1024;
        m_fixture.advance(Duration(1000));
        m_fixture.step();
        CPPUNIT_ASSERT(m_fixture.preemptionsSentFor("greedy").back() == PlacementActionKind::ThrottleTask);
        CPPUNIT_ASSERT(m_fixture.preemptionsSentFor("modest").empty());
    }

    auto plan_urgentOnFullFleet_startsWithinBound() -> void
    {
        constexpr Duration urgentBound { 7400 };
        fillByOneTeam();
        m_fixture.m_checkpointsSucceed = false;
        m_fixture.m_fleet.submit("urgent", "tb", 16, true, true);
        const auto begin = m_fixture.m_now;
        while (m_fixture.m_fleet.job("urgent").m_status != JobStatus::Running && m_fixture.m_now - begin < urgentBound)
            m_fixture.stepFor(Duration(500));
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("urgent").m_status == JobStatus::Running);
        CPPUNIT_ASSERT(m_fixture.m_now - begin <= urgentBound);
    }

    auto plan_urgentOverNonRepeatable_neverStopsIt() -> void
    {
        m_fixture.addWorkers(1);
        m_fixture.m_fleet.submit("hold", "ta", 32, false);
        m_fixture.step();
        m_fixture.m_checkpointsSucceed = false;
        m_fixture.m_fleet.submit("urgent", "tb", 16, true, true);
        m_fixture.stepFor(Duration(20000));
        for (const auto kind : m_fixture.preemptionsSentFor("hold"))
            CPPUNIT_ASSERT(kind == PlacementActionKind::CheckpointTask);
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("hold").m_status == JobStatus::Running);
    }

    auto plan_cancelledRunningJob_isStopped() -> void
    {
        m_fixture.addWorkers(1);
        m_fixture.m_fleet.submit("j", "t", 4);
        m_fixture.step();
        m_fixture.cancel("j", "t");
        m_fixture.stepFor(Duration(2000));
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("j").m_status == JobStatus::Cancelled);
    }

    auto plan_drainingWorker_checkpointsItsTasks() -> void
    {
        m_fixture.addWorkers(2);
        m_fixture.m_fleet.submit("j", "t", 4);
        m_fixture.step();
        const auto first = m_fixture.m_fleet.job("j").m_worker;
        m_fixture.m_fleet.startWave("wave");
        m_fixture.m_fleet.beginDrain("wave", first);
        m_fixture.stepFor(Duration(4000));
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("j").m_status == JobStatus::Running);
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("j").m_worker != first);
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("j").m_failedOn.empty());
    }

    auto plan_overdeclaredSizes_arePackedByMeasuredUsage() -> void
    {
        m_fixture.addWorkers(1);
        for (auto i = 0; i < 10; ++i) {
            const auto id = "first" + std::to_string(i);
            m_fixture.m_fleet.submit(id, "t", 16);
            m_fixture.step();
            m_fixture.task(id).m_milliCores = 2000;
            m_fixture.task(id).m_memoryMb = 8 * 1024;
            m_fixture.endTask(id, TaskPhase::Finished);
            m_fixture.stepFor(Duration(1500));
        }
        for (auto i = 0; i < 20; ++i)
            m_fixture.m_fleet.submit("j" + std::to_string(i), "t", 16);
        m_fixture.step();
        CPPUNIT_ASSERT_EQUAL(16, m_fixture.runningOf("t"));
    }

private:
    auto fillByOneTeam() -> void
    {
        m_fixture.addWorkers(1);
        for (auto i = 0; i < 8; ++i) {
            m_fixture.m_fleet.submit("a" + std::to_string(i), "ta", 4);
            m_fixture.step();
        }
    }

    PlacementFixture m_fixture;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlanPlacementTest);

} // namespace hemlockvane
