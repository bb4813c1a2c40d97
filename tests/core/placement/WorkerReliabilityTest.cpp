#include "core/placement/PlacementFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane {

class WorkerReliabilityTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkerReliabilityTest);
    CPPUNIT_TEST(workerFailingEverything_jobsFinishElsewhere_isQuarantined);
    CPPUNIT_TEST(jobFailingEverywhere_isParkedAndNoWorkerQuarantined);
    CPPUNIT_TEST(manyFailingWorkers_quarantine_staysWithinPercentLimit);
    CPPUNIT_TEST(consecutiveFailures_onlyOnThisWorker_makeItSuspect);
    CPPUNIT_TEST(consecutiveFailures_ofQueueFailingElsewhereToo_makeNoWorkerSuspect);
    CPPUNIT_TEST(quarantine_expired_workerIsUsedAgain);
    CPPUNIT_TEST(refusal_jobPlacedAgain_goesToAnotherWorker);
    CPPUNIT_TEST(refusals_consecutive_backOffLongerUpToMaximum);
    CPPUNIT_TEST_SUITE_END();

public:
    auto workerFailingEverything_jobsFinishElsewhere_isQuarantined() -> void
    {
        m_fixture.addWorkers(4);
        runWithFailingWorkers({ "w1" }, 40);
        CPPUNIT_ASSERT(isQuarantined(m_fixture.m_state, "w1", m_fixture.m_now));
        for (const auto* good : { "w0", "w2", "w3" })
            CPPUNIT_ASSERT(!isQuarantined(m_fixture.m_state, good, m_fixture.m_now));
        for (const auto& [id, job] : m_fixture.m_fleet.m_state.m_jobs.m_jobs)
            CPPUNIT_ASSERT(job.m_status == JobStatus::Finished);
    }

    auto jobFailingEverywhere_isParkedAndNoWorkerQuarantined() -> void
    {
        m_fixture.addWorkers(4);
        m_fixture.m_fleet.submit("bad", "t", 4);
        m_fixture.m_fleet.m_state.m_jobs.m_jobs.at("bad").m_maximumAttempts = 10;
        for (auto i = 0; i < 60; ++i) {
            m_fixture.stepFor(Duration(500));
            if (m_fixture.m_fleet.job("bad").m_status == JobStatus::Running)
                m_fixture.endTask("bad", TaskPhase::Failed);
        }
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("bad").m_status == JobStatus::Parked);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_fixture.m_fleet.job("bad").m_failedOn.size());
        for (const auto& [id, worker] : m_fixture.m_workers)
            CPPUNIT_ASSERT(!isQuarantined(m_fixture.m_state, id, m_fixture.m_now));
    }

    auto manyFailingWorkers_quarantine_staysWithinPercentLimit() -> void
    {
        m_fixture.addWorkers(10);
        runWithFailingWorkers({ "w1", "w2", "w3" }, 120);
        auto quarantined = 0;
        for (const auto& [id, worker] : m_fixture.m_workers)
            quarantined += isQuarantined(m_fixture.m_state, id, m_fixture.m_now) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(1, quarantined);
    }

    auto refusal_jobPlacedAgain_goesToAnotherWorker() -> void
    {
        m_fixture.addWorkers(2);
        m_fixture.m_fleet.submit("j", "t", 4);
        m_fixture.stepFor(Duration(500));
        const auto first = m_fixture.m_fleet.job("j").m_worker;
        m_fixture.endTask("j", TaskPhase::Refused);
        m_fixture.stepFor(Duration(900));
        CPPUNIT_ASSERT(m_fixture.m_fleet.job("j").m_status == JobStatus::Running);
        CPPUNIT_ASSERT(first != m_fixture.m_fleet.job("j").m_worker);
    }

    auto refusals_consecutive_backOffLongerUpToMaximum() -> void
    {
        m_fixture.addWorkers(1);
        m_fixture.m_fleet.submit("j", "t", 4);
        const auto& limits = m_fixture.m_state.m_limits;
        recordOutcome("w0", AttemptOutcome::Refused);
        CPPUNIT_ASSERT(isInRefusalBackoff(m_fixture.m_state, "w0", m_fixture.m_now));
        CPPUNIT_ASSERT(!isInRefusalBackoff(m_fixture.m_state, "w0", m_fixture.m_now + limits.m_refusalBackoff));
        for (auto i = 0; i < 40; ++i)
            recordOutcome("w0", AttemptOutcome::Refused);
        CPPUNIT_ASSERT(
            isInRefusalBackoff(m_fixture.m_state, "w0", m_fixture.m_now + limits.m_maxRefusalBackoff - Duration(1)));
        CPPUNIT_ASSERT(!isInRefusalBackoff(m_fixture.m_state, "w0", m_fixture.m_now + limits.m_maxRefusalBackoff));
    }

    auto consecutiveFailures_onlyOnThisWorker_makeItSuspect() -> void
    {
        m_fixture.addWorkers(2);
        m_fixture.m_fleet.submit("j", "t", 4);
        recordOutcome("w0", AttemptOutcome::Failed);
        recordOutcome("w1", AttemptOutcome::Finished);
        recordOutcome("w0", AttemptOutcome::Failed);
        CPPUNIT_ASSERT(isSuspect(m_fixture.m_state, "w0"));
        CPPUNIT_ASSERT(!isSuspect(m_fixture.m_state, "w1"));
    }

    auto consecutiveFailures_ofQueueFailingElsewhereToo_makeNoWorkerSuspect() -> void
    {
        m_fixture.addWorkers(3);
        m_fixture.m_fleet.submit("j", "t", 4);
        for (auto i = 0; i < 6; ++i)
            recordOutcome("w" + std::to_string(i % 3), AttemptOutcome::Failed);
        for (const auto* worker : { "w0", "w1", "w2" })
            CPPUNIT_ASSERT(!isSuspect(m_fixture.m_state, worker));
    }

    auto quarantine_expired_workerIsUsedAgain() -> void
    {
        m_fixture.addWorkers(4);
        runWithFailingWorkers({ "w1" }, 40);
        m_fixture.advance(m_fixture.m_state.m_limits.m_quarantineTime);
        CPPUNIT_ASSERT(!isQuarantined(m_fixture.m_state, "w1", m_fixture.m_now));
    }

private:
    auto recordOutcome(const std::string& worker, AttemptOutcome outcome) -> void
    {
        recordAttemptOutcome(m_fixture.m_fleet.m_state, m_fixture.m_state, "j", worker, outcome, m_fixture.m_now);
    }

    auto endRunning(const std::set<std::string>& failing) -> void
    {
        for (auto& [id, worker] : m_fixture.m_workers) {
            for (auto& [job, task] : worker.m_tasks)
                task.m_phase = failing.contains(id) ? TaskPhase::Failed : TaskPhase::Finished;
        }
    }

    auto runWithFailingWorkers(const std::set<std::string>& failing, int jobs) -> void
    {
        for (auto i = 0; i < jobs; ++i)
            m_fixture.m_fleet.submit("j" + std::to_string(i), "t", 16);
        while (
            !m_fixture.m_fleet.m_state.m_jobs.m_queued.empty() || !m_fixture.m_fleet.m_state.m_jobs.m_running.empty()) {
            m_fixture.stepFor(Duration(500));
            endRunning(failing);
        }
    }

    PlacementFixture m_fixture;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerReliabilityTest);

} // namespace hemlockvane
