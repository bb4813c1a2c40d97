#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/JobProgress.h"
#include "hemlockvane/scheduling/StoreProgress.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::scheduling {

/// A job waits until one of its tasks has started, whatever was planned for it.
class WaitingJobsTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(WaitingJobsTest);
    CPPUNIT_TEST(job_ofOtherQueue_isNotCounted);
    CPPUNIT_TEST(job_startPlanned_waits);
    CPPUNIT_TEST(job_startRefused_waits);
    CPPUNIT_TEST(job_startNotSent_waits);
    CPPUNIT_TEST(job_startUnanswered_waitsUntilRunIsReported);
    CPPUNIT_TEST(job_startAnswered_hasBegun);
    CPPUNIT_TEST(job_startAnswered_isNotStoredForIt);
    CPPUNIT_TEST(job_unknownRunReported_hasBegun);
    CPPUNIT_TEST(job_runEndedBeforeStartAnswer_hasBegun);
    CPPUNIT_TEST(job_begunAndRunLost_hasBegun);
    CPPUNIT_TEST(job_cancelled_doesNotWait);
    CPPUNIT_TEST(takeover_startUnanswered_waitsUntilRunIsReported);
    CPPUNIT_TEST(takeover_startAnswered_hasBegun);
    CPPUNIT_TEST_SUITE_END();

public:
    auto job_ofOtherQueue_isNotCounted() -> void
    {
        submit({ step(1, 1000) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, countWaitingJobs(m_scheduler, "others"));
        assertWaits();
    }

    auto job_startPlanned_waits() -> void
    {
        startOne();
        assertWaits();
    }

    auto job_startRefused_waits() -> void
    {
        answer(startOne(), StartAnswer::NoCapacity);
        assertWaits();
    }

    auto job_startNotSent_waits() -> void
    {
        answer(startOne(), StartAnswer::NotSent);
        assertWaits();
    }

    auto job_startUnanswered_waitsUntilRunIsReported() -> void
    {
        const auto start = startOne();
        answer(start, StartAnswer::Unknown);
        assertWaits();
        report(start.m_executor, { { start.m_task, start.m_run, {}, 0, 0 } });
        assertHasBegun();
    }

    auto job_startAnswered_hasBegun() -> void
    {
        answer(startOne(), StartAnswer::Started);
        assertHasBegun();
    }

    auto job_startAnswered_isNotStoredForIt() -> void
    {
        const auto start = startOne();
        m_scheduler.m_dirtyJobs.clear();
        findJob(m_scheduler, job)->m_isDirty = false;
        answer(start, StartAnswer::Started);
        CPPUNIT_ASSERT(m_scheduler.m_dirtyJobs.empty());
    }

    auto job_unknownRunReported_hasBegun() -> void
    {
        submit({ step(1, 1000) });
        report(0, { { { job, 0, 0, 0 }, 1, {}, 0, 0 } });
        assertHasBegun();
    }

    auto job_runEndedBeforeStartAnswer_hasBegun() -> void
    {
        reportEnd(startOne(), RunOutcome::Failed);
        assertHasBegun();
    }

    auto job_begunAndRunLost_hasBegun() -> void
    {
        const auto start = startOne();
        answer(start, StartAnswer::Started);
        markTerminated(m_scheduler, start.m_executor, m_now);
        assertHasBegun();
    }

    auto job_cancelled_doesNotWait() -> void
    {
        startOne();
        cancelJob(m_scheduler, job, m_wall);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, countWaitingJobs(m_scheduler, "checks"));
    }

    // The start may have been carried out; the first report of its executor tells.
    auto takeover_startUnanswered_waitsUntilRunIsReported() -> void
    {
        const auto start = startOne();
        answer(start, StartAnswer::Unknown);
        takeOver();
        assertWaits();
        report(start.m_executor, { { start.m_task, start.m_run, {}, 0, 0 } });
        assertHasBegun();
    }

    auto takeover_startAnswered_hasBegun() -> void
    {
        answer(startOne(), StartAnswer::Started);
        takeOver();
        assertHasBegun();
    }

private:
    auto startOne() -> Action
    {
        submit({ step(1, 1000) });
        return plan().at(0);
    }

    auto answer(const Action& start, StartAnswer how) -> void
    {
        applyStartAnswer(m_scheduler, start.m_executor, start.m_task, start.m_run, how, false, m_now);
    }

    // Restores the job, as stored, in a scheduler that has not heard of its executors yet.
    auto takeOver() -> void
    {
        const auto stored = progressOf(m_scheduler, *findJob(m_scheduler, job));
        const auto rules = m_scheduler.m_rules;
        m_scheduler = {};
        m_scheduler.m_rules = rules;
        for (const auto* id : { "e0", "e1" }) {
            ExecutorEntry entry;
            entry.m_id = id;
            entry.m_startedAtMs = 1;
            entry.m_service = "counter";
            entry.m_capacity = { 8000, 16000, 0 };
            registerExecutor(m_scheduler, entry, m_now + Duration(6600), m_now);
        }
        submit({ step(1, 1000) });
        restoreProgress(m_scheduler, job, stored, m_now);
    }

    auto assertWaits() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, countWaitingJobs(m_scheduler, "checks"));
        CPPUNIT_ASSERT(phase() == JobPhase::Queued);
    }

    auto assertHasBegun() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, countWaitingJobs(m_scheduler, "checks"));
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingJobsTest);

} // namespace hemlockvane::scheduling
