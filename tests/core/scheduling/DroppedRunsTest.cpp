#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/CheckStart.h"
#include "hemlockvane/scheduling/DropReason.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::scheduling {

/// What is noted for the log about runs that are forgotten without their end, and about runs that were not known.
class DroppedRunsTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(DroppedRunsTest);
    CPPUNIT_TEST(newLife_listed_reasonIsNewLife);
    CPPUNIT_TEST(newLife_doesNotListTheRun_reasonIsNewLife);
    CPPUNIT_TEST(executor_otherIncarnationAnswersStart_reasonIsOtherIncarnation);
    CPPUNIT_TEST(executor_endedByListOfMachines_reasonIsListOfMachines);
    CPPUNIT_TEST(executor_leaseExpired_reasonIsLeaseLapsed);
    CPPUNIT_TEST(start_refused_reasonIsRefused);
    CPPUNIT_TEST(start_notSent_reasonIsNotSent);
    CPPUNIT_TEST(run_ofEarlierOwnerNotReported_reasonIsNotReported);
    CPPUNIT_TEST(run_stoppedAndNotReported_reasonIsStopped);
    CPPUNIT_TEST(run_endRead_isNotDropped);
    CPPUNIT_TEST(report_runThatWasDropped_isFoundWithTheOtherRun);
    CPPUNIT_TEST(report_runOfUnknownTask_isFoundAndStopped);
    CPPUNIT_TEST(report_endOfRunThatWasDropped_isFound);
    CPPUNIT_TEST(report_endReadBefore_isNotFound);
    CPPUNIT_TEST_SUITE_END();

public:
    auto newLife_listed_reasonIsNewLife() -> void
    {
        const auto start = startReported();
        m_now += Duration(40);
        list(start.m_executor);
        checkDropped(start, DropReason::NewLife);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 40 }, std::int64_t { m_scheduler.m_droppedRuns[0].m_age.count() });
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, m_scheduler.m_droppedRuns[0].m_startedAtMs);
    }

    auto newLife_doesNotListTheRun_reasonIsNewLife() -> void
    {
        const auto start = startOne();
        answerStarts({ start });
        list(start.m_executor);
        CPPUNIT_ASSERT(m_scheduler.m_droppedRuns.empty());
        report(start.m_executor, {});
        checkDropped(start, DropReason::NewLife);
    }

    auto executor_otherIncarnationAnswersStart_reasonIsOtherIncarnation() -> void
    {
        const auto start = startOne();
        answer(start, StartAnswer::OtherIncarnation, false);
        checkDropped(start, DropReason::OtherIncarnation);
    }

    auto executor_endedByListOfMachines_reasonIsListOfMachines() -> void
    {
        const auto start = startOne();
        markTerminated(m_scheduler, start.m_executor, m_now, DropReason::ListOfMachines);
        checkDropped(start, DropReason::ListOfMachines);
    }

    auto executor_leaseExpired_reasonIsLeaseLapsed() -> void
    {
        const auto start = startOne();
        m_scheduler.m_executors[start.m_executor]->m_isUnresponsive = true;
        m_now += Duration(60000);
        expireLeases(m_scheduler, m_now);
        checkDropped(start, DropReason::LeaseLapsed);
    }

    auto start_refused_reasonIsRefused() -> void
    {
        const auto start = startOne();
        answer(start, StartAnswer::Refused, false);
        checkDropped(start, DropReason::Refused);
    }

    auto start_notSent_reasonIsNotSent() -> void
    {
        const auto start = startOne();
        answer(start, StartAnswer::NotSent, false);
        checkDropped(start, DropReason::NotSent);
    }

    auto run_ofEarlierOwnerNotReported_reasonIsNotReported() -> void
    {
        const auto start = takeOver();
        report(start.m_executor, {});
        checkDropped(start, DropReason::NotReported);
    }

    auto run_stoppedAndNotReported_reasonIsStopped() -> void
    {
        const auto start = startReported();
        stopRun(m_scheduler, *findRun(m_scheduler, start.m_task, start.m_run, start.m_executor));
        applyStopAnswer(m_scheduler, start.m_executor, start.m_task, start.m_run, m_now);
        report(start.m_executor, {});
        checkDropped(start, DropReason::Stopped);
    }

    auto run_endRead_isNotDropped() -> void
    {
        const auto start = startReported();
        reportEnd(start, RunOutcome::Done);
        CPPUNIT_ASSERT(m_scheduler.m_droppedRuns.empty());
        CPPUNIT_ASSERT(m_scheduler.m_foundRuns.empty());
    }

    auto report_runThatWasDropped_isFoundWithTheOtherRun() -> void
    {
        const auto start = startOne();
        answer(start, StartAnswer::Refused, false);
        m_now += Duration(1000);
        const auto next = starts().at(0);
        report(start.m_executor, { { start.m_task, start.m_run, "", 10, 0 } });
        checkFound(start, false, true);
        CPPUNIT_ASSERT_EQUAL(next.m_run, m_scheduler.m_foundRuns[0].m_otherRun.value());
        CPPUNIT_ASSERT_EQUAL(next.m_executor, m_scheduler.m_foundRuns[0].m_otherExecutor);
    }

    auto report_runOfUnknownTask_isFoundAndStopped() -> void
    {
        Action unknown;
        unknown.m_task = { job, 0, 0, 0 };
        unknown.m_run = 1;
        report(0, { { unknown.m_task, unknown.m_run, "", 10, 0 } });
        checkFound(unknown, false, true);
        CPPUNIT_ASSERT(!m_scheduler.m_foundRuns[0].m_otherRun);
    }

    auto report_endOfRunThatWasDropped_isFound() -> void
    {
        const auto start = startOne();
        answer(start, StartAnswer::Refused, false);
        reportEnd(start, RunOutcome::Done);
        checkFound(start, true, false);
        CPPUNIT_ASSERT(!m_scheduler.m_foundRuns[0].m_otherRun);
    }

    auto report_endReadBefore_isNotFound() -> void
    {
        const auto start = startReported();
        reportEnd(start, RunOutcome::Done);
        reportEnd(start, RunOutcome::Done);
        CPPUNIT_ASSERT(m_scheduler.m_foundRuns.empty());
    }

private:
    auto startReported() -> Action
    {
        const auto start = startOne();
        answerStarts({ start });
        report(start.m_executor, { { start.m_task, start.m_run, "", 10, 0 } });
        return start;
    }

    auto list(ExecutorIndex index) -> void
    {
        auto entry = m_scheduler.m_executors[index]->m_entry;
        ++entry.m_startedAtMs;
        registerExecutor(m_scheduler, entry, m_now, m_now);
    }

    auto checkDropped(const Action& start, DropReason reason) -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_scheduler.m_droppedRuns.size());
        const auto& dropped = m_scheduler.m_droppedRuns[0];
        CPPUNIT_ASSERT(dropped.m_task == start.m_task);
        CPPUNIT_ASSERT_EQUAL(start.m_run, dropped.m_run);
        CPPUNIT_ASSERT_EQUAL(start.m_executor, dropped.m_executor);
        CPPUNIT_ASSERT(dropped.m_reason == reason);
    }

    auto checkFound(const Action& run, bool hasEnded, bool isStopped) -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_scheduler.m_foundRuns.size());
        const auto& found = m_scheduler.m_foundRuns[0];
        CPPUNIT_ASSERT(found.m_task == run.m_task);
        CPPUNIT_ASSERT_EQUAL(run.m_run, found.m_run);
        CPPUNIT_ASSERT_EQUAL(run.m_executor, found.m_executor);
        CPPUNIT_ASSERT_EQUAL(hasEnded, found.m_hasEnded);
        CPPUNIT_ASSERT_EQUAL(isStopped, found.m_isStopped);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DroppedRunsTest);

} // namespace hemlockvane::scheduling
