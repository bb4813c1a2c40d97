#include "core/placement/PlacementFixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace hemlockvane {

class LeaseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LeaseTest);
    CPPUNIT_TEST(lapsedLease_beforeTermAndDrift_isNotReplaced);
    CPPUNIT_TEST(lapsedLease_afterTermAndDrift_isPlacedElsewhere);
    CPPUNIT_TEST(lapsedLease_nonRepeatable_isParkedWithReason);
    CPPUNIT_TEST(newHolder_workerWithoutReport_waitsFullTermFromItsStart);
    CPPUNIT_TEST(newHolder_nonRepeatableMissingFromReport_isParked);
    CPPUNIT_TEST(newHolder_repeatableMissingFromReport_isStartedAgainUnderItsEpoch);
    CPPUNIT_TEST(restartedWorker_taskForgotten_isLost);
    CPPUNIT_TEST(lostStart_sameIncarnation_isSentAgain);
    CPPUNIT_TEST(lateReport_olderClock_renewsNothing);
    CPPUNIT_TEST(renewal_countsFromWorkersReport_notFromAnswer);
    CPPUNIT_TEST(returningWorker_taskPlacedElsewhere_isStopped);
    CPPUNIT_TEST(refusedPlacement_record_freesJobForNextPlan);
    CPPUNIT_TEST_SUITE_END();

public:
    auto lapsedLease_beforeTermAndDrift_isNotReplaced() -> void
    {
        placeOne(true);
        m_fixture.advance(m_fixture.m_state.m_limits.m_leaseTerm + m_fixture.m_state.m_limits.m_clockDrift);
        CPPUNIT_ASSERT(m_fixture.plan().empty());
    }

    auto lapsedLease_afterTermAndDrift_isPlacedElsewhere() -> void
    {
        placeOne(true);
        const auto first = m_fixture.m_fleet.job("j").m_worker;
        m_fixture.m_workers.erase(first);
        m_fixture.stepFor(Duration(13000));
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("j").m_status == JobStatus::Running);
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("j").m_worker != first);
    }

    auto lapsedLease_nonRepeatable_isParkedWithReason() -> void
    {
        placeOne(false);
        m_fixture.m_workers.erase(m_fixture.m_fleet.job("j").m_worker);
        m_fixture.stepFor(Duration(13000));
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("j").m_status == JobStatus::Parked);
        const auto ended = *std::find_if(m_fixture.m_sent.begin(), m_fixture.m_sent.end(),
            [](const auto& action) { return action.m_kind == PlacementActionKind::EndAttempt; });
        CPPUNIT_ASSERT(ended.m_outcome == AttemptOutcome::Lost);
        CPPUNIT_ASSERT(ended.m_reason.find("may not be repeated") != std::string::npos);
    }

    auto newHolder_workerWithoutReport_waitsFullTermFromItsStart() -> void
    {
        placeOne(true);
        m_fixture.advance(Duration(60000));
        beginPlacement(m_fixture.m_state, m_fixture.m_fleet.m_placementEpoch, m_fixture.m_now);
        m_fixture.advance(m_fixture.m_state.m_limits.m_leaseTerm);
        CPPUNIT_ASSERT(m_fixture.plan().empty());
        m_fixture.advance(m_fixture.m_state.m_limits.m_clockDrift + Duration(1));
        CPPUNIT_ASSERT(m_fixture.plan().front().m_outcome == AttemptOutcome::Lost);
    }

    auto newHolder_nonRepeatableMissingFromReport_isParked() -> void
    {
        placeOne(false);
        const auto worker = m_fixture.m_fleet.job("j").m_worker;
        m_fixture.m_workers.at(worker).m_tasks.clear();
        beginPlacement(m_fixture.m_state, m_fixture.m_fleet.m_state.m_nextOffset + 1, m_fixture.m_now);
        m_fixture.advance(Duration(500));
        m_fixture.report(worker);
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("j").m_status == JobStatus::Parked);
    }

    auto newHolder_repeatableMissingFromReport_isStartedAgainUnderItsEpoch() -> void
    {
        placeOne(true);
        const auto worker = m_fixture.m_fleet.job("j").m_worker;
        m_fixture.m_workers.at(worker).m_tasks.clear();
        beginPlacement(m_fixture.m_state, m_fixture.m_fleet.m_state.m_nextOffset + 1, m_fixture.m_now);
        m_fixture.advance(Duration(500));
        m_fixture.report(worker);
        CPPUNIT_ASSERT(m_fixture.m_sent.back().m_kind == PlacementActionKind::StartTask);
        CPPUNIT_ASSERT_EQUAL(m_fixture.m_fleet.job("j").m_leaseEpoch, m_fixture.m_sent.back().m_leaseEpoch);
    }

    auto restartedWorker_taskForgotten_isLost() -> void
    {
        placeOne(false);
        const auto worker = m_fixture.m_fleet.job("j").m_worker;
        m_fixture.m_workers.at(worker) = FakeWorker { "2", {} };
        m_fixture.report(worker);
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("j").m_status == JobStatus::Parked);
    }

    auto lostStart_sameIncarnation_isSentAgain() -> void
    {
        placeOne(false);
        const auto worker = m_fixture.m_fleet.job("j").m_worker;
        m_fixture.m_workers.at(worker).m_tasks.clear();
        m_fixture.advance(Duration(500));
        m_fixture.report(worker);
        CPPUNIT_ASSERT(m_fixture.m_workers.at(worker).m_tasks.contains("j"));
    }

    auto lateReport_olderClock_renewsNothing() -> void
    {
        m_fixture.addWorkers(1);
        const WorkerReport late { "w0", "1", m_fixture.m_now.time_since_epoch().count() - 1, {} };
        CPPUNIT_ASSERT(onReport(m_fixture.m_fleet.m_state, m_fixture.m_state, late, m_fixture.m_now).empty());
    }

    auto renewal_countsFromWorkersReport_notFromAnswer() -> void
    {
        m_fixture.addWorkers(1);
        const WorkerReport delayed { "w0", "1", m_fixture.m_now.time_since_epoch().count(), {} };
        m_fixture.advance(Duration(5000));
        const auto actions = onReport(m_fixture.m_fleet.m_state, m_fixture.m_state, delayed, m_fixture.m_now);
        const auto term = m_fixture.m_state.m_limits.m_leaseTerm.count();
        CPPUNIT_ASSERT_EQUAL(delayed.m_workerClockMs + term, actions.front().m_leaseUntil);
    }

    auto returningWorker_taskPlacedElsewhere_isStopped() -> void
    {
        placeOne(true);
        const auto first = m_fixture.m_fleet.job("j").m_worker;
        auto paused = m_fixture.m_workers.extract(first);
        m_fixture.stepFor(Duration(13000));
        m_fixture.m_workers.insert(std::move(paused));
        m_fixture.report(first);
        CPPUNIT_ASSERT(m_fixture.m_sent.back().m_kind == PlacementActionKind::StopTask);
        CPPUNIT_ASSERT_EQUAL(first, m_fixture.m_sent.back().m_worker);
    }

    auto refusedPlacement_record_freesJobForNextPlan() -> void
    {
        m_fixture.addWorkers(1);
        m_fixture.m_fleet.submit("j", "t", 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_fixture.plan().size());
        onNotRecorded(m_fixture.m_state, "j");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_fixture.plan().size());
    }

private:
    auto placeOne(bool repeatable) -> void
    {
        m_fixture.addWorkers(2);
        m_fixture.m_fleet.submit("j", "t", 4, repeatable);
        m_fixture.step();
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("j").m_status == JobStatus::Running);
    }

    PlacementFixture m_fixture;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTest);

} // namespace hemlockvane
