#include "core/placement/PlacementFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane {

class WorkerTrustTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkerTrustTest);
    CPPUNIT_TEST(workerFailingEverything_jobsFinishElsewhere_isSetAside);
    CPPUNIT_TEST(jobFailingEverywhere_isParkedAndNoWorkerSetAside);
    CPPUNIT_TEST(manyBadWorkers_atMostTheBoundedPartIsSetAside);
    CPPUNIT_TEST(failuresInRow_onlyOnThisWorker_makeItSuspect);
    CPPUNIT_TEST(failuresInRow_ofQueueFailingElsewhereToo_blameNoWorker);
    CPPUNIT_TEST(setAside_timeOver_isTriedAgain);
    CPPUNIT_TEST(refusal_jobPlacedAgain_goesToAnotherWorker);
    CPPUNIT_TEST(refusals_inRow_restLongerUpToABound);
    CPPUNIT_TEST_SUITE_END();

public:
    auto workerFailingEverything_jobsFinishElsewhere_isSetAside() -> void
    {
        m_world.addWorkers(4);
        runWithFailingWorkers({ "w1" }, 40);
        CPPUNIT_ASSERT(isSetAside(m_world.m_state, "w1", m_world.m_now));
        for (const auto* good : { "w0", "w2", "w3" })
            CPPUNIT_ASSERT(!isSetAside(m_world.m_state, good, m_world.m_now));
        for (const auto& [id, job] : m_world.m_fleet.m_state.m_jobs.m_jobs)
            CPPUNIT_ASSERT(job.m_status == JobStatus::Finished);
    }

    auto jobFailingEverywhere_isParkedAndNoWorkerSetAside() -> void
    {
        m_world.addWorkers(4);
        m_world.m_fleet.submit("bad", "t", 4);
        m_world.m_fleet.m_state.m_jobs.m_jobs.at("bad").m_maximumAttempts = 10;
        for (auto i = 0; i < 60; ++i) {
            m_world.stepFor(Duration(500));
            if (m_world.m_fleet.job("bad").m_status == JobStatus::Running)
                m_world.endTask("bad", TaskPhase::Failed);
        }
        CPPUNIT_ASSERT(m_world.m_fleet.job("bad").m_status == JobStatus::Parked);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_world.m_fleet.job("bad").m_failedOn.size());
        for (const auto& [id, worker] : m_world.m_workers)
            CPPUNIT_ASSERT(!isSetAside(m_world.m_state, id, m_world.m_now));
    }

    auto manyBadWorkers_atMostTheBoundedPartIsSetAside() -> void
    {
        m_world.addWorkers(10);
        runWithFailingWorkers({ "w1", "w2", "w3" }, 120);
        auto aside = 0;
        for (const auto& [id, worker] : m_world.m_workers)
            aside += isSetAside(m_world.m_state, id, m_world.m_now) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(1, aside);
    }

    auto refusal_jobPlacedAgain_goesToAnotherWorker() -> void
    {
        m_world.addWorkers(2);
        m_world.m_fleet.submit("j", "t", 4);
        m_world.stepFor(Duration(500));
        const auto first = m_world.m_fleet.job("j").m_worker;
        m_world.endTask("j", TaskPhase::Refused);
        m_world.stepFor(Duration(900));
        CPPUNIT_ASSERT(m_world.m_fleet.job("j").m_status == JobStatus::Running);
        CPPUNIT_ASSERT(first != m_world.m_fleet.job("j").m_worker);
    }

    auto refusals_inRow_restLongerUpToABound() -> void
    {
        m_world.addWorkers(1);
        m_world.m_fleet.submit("j", "t", 4);
        const auto& limits = m_world.m_state.m_limits;
        learn("w0", AttemptOutcome::Refused);
        CPPUNIT_ASSERT(isRefusing(m_world.m_state, "w0", m_world.m_now));
        CPPUNIT_ASSERT(!isRefusing(m_world.m_state, "w0", m_world.m_now + limits.m_refusalRest));
        for (auto i = 0; i < 40; ++i)
            learn("w0", AttemptOutcome::Refused);
        CPPUNIT_ASSERT(isRefusing(m_world.m_state, "w0", m_world.m_now + limits.m_longestRefusalRest - Duration(1)));
        CPPUNIT_ASSERT(!isRefusing(m_world.m_state, "w0", m_world.m_now + limits.m_longestRefusalRest));
    }

    auto failuresInRow_onlyOnThisWorker_makeItSuspect() -> void
    {
        m_world.addWorkers(2);
        m_world.m_fleet.submit("j", "t", 4);
        learn("w0", AttemptOutcome::Failed);
        learn("w1", AttemptOutcome::Finished);
        learn("w0", AttemptOutcome::Failed);
        CPPUNIT_ASSERT(isSuspect(m_world.m_state, "w0"));
        CPPUNIT_ASSERT(!isSuspect(m_world.m_state, "w1"));
    }

    auto failuresInRow_ofQueueFailingElsewhereToo_blameNoWorker() -> void
    {
        m_world.addWorkers(3);
        m_world.m_fleet.submit("j", "t", 4);
        for (auto i = 0; i < 6; ++i)
            learn("w" + std::to_string(i % 3), AttemptOutcome::Failed);
        for (const auto* worker : { "w0", "w1", "w2" })
            CPPUNIT_ASSERT(!isSuspect(m_world.m_state, worker));
    }

    auto setAside_timeOver_isTriedAgain() -> void
    {
        m_world.addWorkers(4);
        runWithFailingWorkers({ "w1" }, 40);
        m_world.advance(m_world.m_state.m_limits.m_setAside);
        CPPUNIT_ASSERT(!isSetAside(m_world.m_state, "w1", m_world.m_now));
    }

private:
    auto learn(const std::string& worker, AttemptOutcome outcome) -> void
    {
        learnBlame(m_world.m_fleet.m_state, m_world.m_state, "j", worker, outcome, m_world.m_now);
    }

    auto endRunning(const std::set<std::string>& failing) -> void
    {
        for (auto& [id, worker] : m_world.m_workers) {
            for (auto& [job, task] : worker.m_tasks)
                task.m_phase = failing.contains(id) ? TaskPhase::Failed : TaskPhase::Finished;
        }
    }

    auto runWithFailingWorkers(const std::set<std::string>& failing, int jobs) -> void
    {
        for (auto i = 0; i < jobs; ++i)
            m_world.m_fleet.submit("j" + std::to_string(i), "t", 16);
        while (!m_world.m_fleet.m_state.m_jobs.m_queued.empty() || !m_world.m_fleet.m_state.m_jobs.m_running.empty()) {
            m_world.stepFor(Duration(500));
            endRunning(failing);
        }
    }

    PlacementFixture m_world;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerTrustTest);

} // namespace hemlockvane
