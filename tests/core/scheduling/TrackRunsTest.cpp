#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/AttemptLimits.h"
#include "hemlockvane/scheduling/BlameCrashes.h"
#include "hemlockvane/scheduling/Evacuate.h"
#include "hemlockvane/scheduling/JobProgress.h"
#include "hemlockvane/scheduling/StoreProgress.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>

namespace hemlockvane::scheduling {

class TrackRunsTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(TrackRunsTest);
    CPPUNIT_TEST(start_unanswered_isStoppedBeforeRetryElsewhere);
    CPPUNIT_TEST(start_refusedAfterUnansweredOne_isStopped);
    CPPUNIT_TEST(start_refusedForCapacity_isRetriedElsewhereAtOnce);
    CPPUNIT_TEST(executor_unresponsive_keepsTasksUntilLeaseExpires);
    CPPUNIT_TEST(executor_restarted_losesItsRuns);
    CPPUNIT_TEST(executor_terminated_isNotRegisteredAgainWithSameStartTime);
    CPPUNIT_TEST(newLife_knownOnlyFromPoll_takesNoTaskUntilListed);
    CPPUNIT_TEST(newLife_knownOnlyFromPoll_itsRunIsAdoptedAndStopped);
    CPPUNIT_TEST(newLife_knownOnlyFromPoll_isRetiredAndComesBackWhenListed);
    CPPUNIT_TEST(runEnd_reportedAgain_countsOnce);
    CPPUNIT_TEST(runEnd_notStored_isNotAcknowledged);
    CPPUNIT_TEST(failedRun_configurationNotRead_jobGoesOn);
    CPPUNIT_TEST(failedRun_queueRemoved_jobGoesOn);
    CPPUNIT_TEST(failedRuns_limitReadAfterwards_jobFailsThen);
    CPPUNIT_TEST(takeover_attemptsUsedUp_jobFailsOnceRulesAreRead);
    CPPUNIT_TEST(gangFailures_limitReadAfterwards_jobFailsThen);
    CPPUNIT_TEST(limitLowered_tasksThatFailedSoOftenAreDone_jobGoesOn);
    CPPUNIT_TEST(limitLowered_failuresInEarlierOccurrence_jobGoesOn);
    CPPUNIT_TEST(limitMissing_failedRun_jobGoesOn);
    CPPUNIT_TEST(run_numberedSixtyFourAfterACountedOne_isCounted);
    CPPUNIT_TEST(failure_reportedAgainAfterSixtyFourStarts_countsOnce);
    CPPUNIT_TEST(runEnd_otherThanFailed_isNotCountedAsFailure);
    CPPUNIT_TEST(duplicates_bothFail_countAsTwo);
    CPPUNIT_TEST(takeover_countedFailureReportedAgain_countsOnce);
    CPPUNIT_TEST(gangRun_severalMembersFail_countsOnce);
    CPPUNIT_TEST(gangRun_membersFailBeforeAndAfterTakeover_countsOnce);
    CPPUNIT_TEST(limitLoweredAndRaised_noFailureBetween_jobGoesOn);
    CPPUNIT_TEST(limitLowered_nextFailure_jobFails);
    CPPUNIT_TEST(queueRemovedAndAddedWithLowerLimit_noFailureBetween_jobGoesOn);
    CPPUNIT_TEST(droppedJob_itsReportedRunEnds_executorIsFree);
    CPPUNIT_TEST(takeover_runStored_isNotStartedAgain);
    CPPUNIT_TEST(takeover_runNotReported_isStartedAgain);
    CPPUNIT_TEST(takeover_executorUnresponsive_keepsTaskUntilEarlierLeasesExpire);
    CPPUNIT_TEST(takeover_executorSilentAfterItsAnswer_keepsTaskUntilEarlierLeasesExpire);
    CPPUNIT_TEST(run_ofUnknownJob_isStopped);
    CPPUNIT_TEST(run_reportedAfterItsJobWasRetired_keepsTheJobUntilItEnds);
    CPPUNIT_TEST(run_reportedAfterItsJobWasRetired_isLostWithItsLease);
    CPPUNIT_TEST(run_reportedAfterItsJobWasRetired_isLostWithItsExecutor);
    CPPUNIT_TEST(retire_unregisteredWithRun_waitsForItsEnd);
    CPPUNIT_TEST(retire_executorListedAgain_isUsedAgain);
    CPPUNIT_TEST(evacuate_otherTaskUnavailable_waits);
    CPPUNIT_TEST(evacuate_ownReportStale_countsOnlyOtherTasks);
    CPPUNIT_TEST(evacuate_otherOnUnresponsiveExecutor_waits);
    CPPUNIT_TEST(longRunningStart_unansweredThenReported_isKept);
    CPPUNIT_TEST(longRunningStart_unansweredAndNotReported_isStopped);
    CPPUNIT_TEST(repeatedStart_runAlreadyEnded_waitsForItsOutcome);
    CPPUNIT_TEST(repeatedStart_noOutcomeInNextPoll_startsAgain);
    CPPUNIT_TEST(failures_limitMayBeOutOfDate_taskIsNotStartedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against one start more than the queue allows, while the owner cannot confirm the configuration.
    auto failures_limitMayBeOutOfDate_taskIsNotStartedAgain() -> void
    {
        submit({ step(1, 1000) });
        m_scheduler.m_mayFailJobs = false;
        const auto attempts = m_scheduler.m_rules.m_queues["checks"].m_maximumAttempts;
        for (std::uint32_t attempt = 0; attempt < attempts; ++attempt) {
            m_now += Duration(1000);
            const auto starts = plan();
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts.size());
            answerStarts(starts);
            reportEnd(starts.front(), RunOutcome::Failed);
        }
        m_now += Duration(1000);
        CPPUNIT_ASSERT(plan().empty());
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
        m_scheduler.m_mayFailJobs = true;
        failExhaustedJobs(m_scheduler, m_wall);
        CPPUNIT_ASSERT(phase() == JobPhase::Failed);
    }

    auto start_unanswered_isStoppedBeforeRetryElsewhere() -> void
    {
        const auto start = startOne();
        answer(start, StartAnswer::Unknown, true);
        const auto actions = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == ActionKind::Stop);
        applyStopAnswer(m_scheduler, start.m_executor, start.m_task, start.m_run, m_now);
        CPPUNIT_ASSERT(starts().empty());
        m_now += Duration(300);
        report(start.m_executor, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    auto start_refusedAfterUnansweredOne_isStopped() -> void
    {
        const auto start = startOne();
        answer(start, StartAnswer::NoCapacity, true);
        CPPUNIT_ASSERT(starts().empty());
    }

    auto start_refusedForCapacity_isRetriedElsewhereAtOnce() -> void
    {
        const auto start = startOne();
        answer(start, StartAnswer::NoCapacity, false);
        const auto again = starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, again.size());
        CPPUNIT_ASSERT(again[0].m_executor != start.m_executor);
    }

    auto executor_unresponsive_keepsTasksUntilLeaseExpires() -> void
    {
        const auto start = startOne();
        auto& executor = *m_scheduler.m_executors[start.m_executor];
        executor.m_leaseUntilMs = executor.m_clockMs + 4000;
        executor.m_isUnresponsive = true;
        m_now += Duration(4400); // 4,312 ms on a clock that is 2 % slow.
        CPPUNIT_ASSERT(starts().empty());
        m_now += Duration(200);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    auto executor_restarted_losesItsRuns() -> void
    {
        const auto start = startOne();
        auto entry = m_scheduler.m_executors[start.m_executor]->m_entry;
        entry.m_startedAtMs = 2;
        registerExecutor(m_scheduler, entry, m_now, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    auto executor_terminated_isNotRegisteredAgainWithSameStartTime() -> void
    {
        markTerminated(m_scheduler, 0, m_now);
        const auto entry = m_scheduler.m_executors[0]->m_entry;
        registerExecutor(m_scheduler, entry, m_now, m_now);
        CPPUNIT_ASSERT(!isSchedulable(*m_scheduler.m_executors[0], m_now));
    }

    // Guards against starts that rely on the service, labels and capacity of the earlier life.
    auto newLife_knownOnlyFromPoll_takesNoTaskUntilListed() -> void
    {
        reportNewLife(0, {});
        CPPUNIT_ASSERT(!isSchedulable(*m_scheduler.m_executors[0], m_now));
        registerExecutor(m_scheduler, m_scheduler.m_executors[0]->m_entry, m_now, m_now);
        // Until it answers a poll with its own token, it may carry out requests that were meant for the earlier life.
        CPPUNIT_ASSERT(!isSchedulable(*m_scheduler.m_executors[0], m_now));
        report(0, {});
        CPPUNIT_ASSERT(isSchedulable(*m_scheduler.m_executors[0], m_now));
    }

    auto newLife_knownOnlyFromPoll_itsRunIsAdoptedAndStopped() -> void
    {
        const auto start = startOne();
        const auto id = start.m_executor;
        reportNewLife(id, { { start.m_task, start.m_run + 1, "", 50, 0 } });
        CPPUNIT_ASSERT(starts().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_scheduler.m_executors[id]->m_runs.size());
        enterPhase(m_scheduler, *findJob(m_scheduler, job), JobPhase::Cancelled, m_wall);
        const auto actions = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == ActionKind::Stop);
    }

    auto newLife_knownOnlyFromPoll_isRetiredAndComesBackWhenListed() -> void
    {
        reportNewLife(0, {});
        CPPUNIT_ASSERT(retireExecutors(m_scheduler) == std::vector<ExecutorIndex> { 0 });
        registerExecutor(m_scheduler, m_scheduler.m_executors[0]->m_entry, m_now, m_now);
        report(0, {});
        submit({ step(2, 8000) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, plan().size());
    }

    auto runEnd_reportedAgain_countsOnce() -> void
    {
        const auto start = startOne();
        const EndedRun failed { 1, start.m_task, start.m_run, RunOutcome::Failed, "" };
        report(start.m_executor, {}, { failed });
        report(start.m_executor, {}, { failed });
        CPPUNIT_ASSERT_EQUAL(1U, findTask(m_scheduler, start.m_task)->m_failures);
    }

    auto runEnd_notStored_isNotAcknowledged() -> void
    {
        const auto start = startOne();
        reportEnd(start, RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, m_scheduler.m_executors[start.m_executor]->m_acknowledgedEnd);
        markBatchStored(m_scheduler, m_scheduler.m_openBatch);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, m_scheduler.m_executors[start.m_executor]->m_acknowledgedEnd);
    }

    // Guards against a job that fails by the limit of a queue that is not known yet.
    auto failedRun_configurationNotRead_jobGoesOn() -> void
    {
        const auto start = startOne();
        const auto rules = std::exchange(m_scheduler.m_rules, {});
        reportEnd(start, RunOutcome::Failed);
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
        applyRules(m_scheduler, rules, m_wall);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    // Guards against a job that fails with its first failed run since its queue was taken out of the configuration.
    auto failedRun_queueRemoved_jobGoesOn() -> void
    {
        const auto start = startOne();
        m_scheduler.m_rules.m_queues.erase("checks");
        reportEnd(start, RunOutcome::Failed);
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
    }

    // Guards against another start of a task that has used up its attempts.
    auto failedRuns_limitReadAfterwards_jobFailsThen() -> void
    {
        const auto rules = m_scheduler.m_rules;
        submit({ step(1, 1000) });
        for (int attempt = 0; attempt < 3; ++attempt) {
            const auto start = plan().at(0);
            if (attempt == 2)
                m_scheduler.m_rules = {};
            reportEnd(start, RunOutcome::Failed);
        }
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
        applyRules(m_scheduler, rules, m_wall);
        CPPUNIT_ASSERT(phase() == JobPhase::Failed);
        CPPUNIT_ASSERT(starts().empty());
    }

    auto takeover_attemptsUsedUp_jobFailsOnceRulesAreRead() -> void
    {
        const auto rules = m_scheduler.m_rules;
        submit({ step(1, 1000) });
        JobProgress stored;
        stored.m_phase = JobPhase::Running;
        TaskProgress task;
        task.m_failures = 3;
        task.m_highestRun = 3;
        stored.m_tasks.push_back(task);
        m_scheduler.m_rules = {};
        restoreProgress(m_scheduler, job, stored, m_now);
        failExhaustedJobs(m_scheduler, m_wall);
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
        applyRules(m_scheduler, rules, m_wall);
        CPPUNIT_ASSERT(phase() == JobPhase::Failed);
    }

    auto gangFailures_limitReadAfterwards_jobFailsThen() -> void
    {
        auto gang = step(2, 1000);
        gang.m_isGang = true;
        submit({ gang });
        const auto start = plan().at(0);
        const auto rules = std::exchange(m_scheduler.m_rules, {});
        reportEnd(start, RunOutcome::Failed);
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
        auto stricter = rules;
        stricter.m_queues.at("checks").m_maximumAttempts = 1;
        applyRules(m_scheduler, stricter, m_wall);
        CPPUNIT_ASSERT(phase() == JobPhase::Failed);
    }

    // Guards against a job that fails by a task that has succeeded since.
    auto limitLowered_tasksThatFailedSoOftenAreDone_jobGoesOn() -> void
    {
        submit({ step(2, 1000) });
        const auto both = plan();
        reportEnd(both.at(0), RunOutcome::Failed);
        reportEnd(plan().at(0), RunOutcome::Done);
        setLimit(1);
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
    }

    auto limitLowered_failuresInEarlierOccurrence_jobGoesOn() -> void
    {
        JobSpec spec;
        spec.m_id = job;
        spec.m_queue = "checks";
        spec.m_steps = { step(1, 1000) };
        spec.m_occurrences = 2;
        spec.m_firstDue = m_wall;
        spec.m_intervalMs = 60000;
        addJob(m_scheduler, std::move(spec), m_now, m_wall);
        reportEnd(plan().at(0), RunOutcome::Failed);
        reportEnd(plan().at(0), RunOutcome::Done);
        setLimit(1);
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
    }

    auto limitMissing_failedRun_jobGoesOn() -> void
    {
        const auto start = startOne();
        setLimit(0);
        reportEnd(start, RunOutcome::Failed);
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
    }

    // Guards against a task that is run again because its outcome was taken for that of an earlier run.
    auto run_numberedSixtyFourAfterACountedOne_isCounted() -> void
    {
        reportEnd(startOne(), RunOutcome::Failed);
        auto start = plan().at(0);
        while (start.m_run < 65) {
            answer(start, StartAnswer::Refused, false);
            m_now += Duration(1000);
            start = starts().at(0);
        }
        answerStarts({ start });
        reportEnd(start, RunOutcome::Done);
        CPPUNIT_ASSERT(phase() == JobPhase::Completed);
    }

    // Guards against a failure that is counted twice: run 65 has the bit of run 1.
    auto failure_reportedAgainAfterSixtyFourStarts_countsOnce() -> void
    {
        const auto first = startOne();
        reportEnd(first, RunOutcome::Failed);
        auto start = plan().at(0);
        while (start.m_run < 65) {
            answer(start, StartAnswer::Refused, false);
            m_now += Duration(1000);
            start = starts().at(0);
        }
        answerStarts({ start });
        reportEnd(first, RunOutcome::Failed);
        CPPUNIT_ASSERT_EQUAL(1U, findTask(m_scheduler, start.m_task)->m_failures);
        reportEnd(start, RunOutcome::Done);
        CPPUNIT_ASSERT(phase() == JobPhase::Completed);
    }

    auto runEnd_otherThanFailed_isNotCountedAsFailure() -> void
    {
        submit({ step(1, 1000) });
        for (const auto outcome :
            { RunOutcome::Stopped, RunOutcome::LeaseExpired, RunOutcome::GangBroken, RunOutcome::GangIncomplete }) {
            const auto start = starts().at(0);
            answerStarts({ start });
            reportEnd(start, outcome);
            CPPUNIT_ASSERT_EQUAL(0U, findTask(m_scheduler, start.m_task)->m_failures);
        }
    }

    auto duplicates_bothFail_countAsTwo() -> void
    {
        auto spec = step(1, 1000);
        spec.m_allowsDuplicates = true;
        submit({ spec });
        const auto first = plan().at(0);
        m_scheduler.m_executors[first.m_executor]->m_isUnresponsive = true;
        const auto copy = plan().at(0);
        CPPUNIT_ASSERT(copy.m_run != first.m_run);
        reportEnd(first, RunOutcome::Failed);
        reportEnd(copy, RunOutcome::Failed);
        CPPUNIT_ASSERT_EQUAL(2U, findTask(m_scheduler, first.m_task)->m_failures);
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
    }

    auto takeover_countedFailureReportedAgain_countsOnce() -> void
    {
        const auto start = startOne();
        reportEnd(start, RunOutcome::Failed);
        restoreInNewScheduler(step(1, 1000));
        m_endedRuns[start.m_executor] = 0;
        reportEnd(start, RunOutcome::Failed);
        CPPUNIT_ASSERT_EQUAL(1U, findTask(m_scheduler, start.m_task)->m_failures);
    }

    // Guards against a job that fails after fewer runs of its gang than its queue allows.
    auto gangRun_severalMembersFail_countsOnce() -> void
    {
        submit({ gang() });
        for (std::uint32_t failures = 1; failures <= 2; ++failures) {
            const auto members = starts();
            CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, members.size());
            answerStarts(members);
            for (const auto& member : members)
                reportEnd(member, RunOutcome::Failed);
            CPPUNIT_ASSERT_EQUAL(failures, findStep(m_scheduler, members[0].m_task)->m_gangFailures);
            CPPUNIT_ASSERT(phase() == JobPhase::Running);
            m_now += Duration(10000); // After the executors' back-off.
        }
    }

    auto gangRun_membersFailBeforeAndAfterTakeover_countsOnce() -> void
    {
        submit({ gang() });
        const auto members = starts();
        answerStarts(members);
        reportEnd(members.at(0), RunOutcome::Failed);
        restoreInNewScheduler(gang());
        reportEnd(members.at(1), RunOutcome::Failed);
        CPPUNIT_ASSERT_EQUAL(1U, findStep(m_scheduler, members[0].m_task)->m_gangFailures);
    }

    // Guards against a final state by a limit that the operators have withdrawn before a run failed under it.
    auto limitLoweredAndRaised_noFailureBetween_jobGoesOn() -> void
    {
        reportEnd(startOne(), RunOutcome::Failed);
        reportEnd(plan().at(0), RunOutcome::Failed);
        setLimit(2);
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
        setLimit(4);
        m_now += Duration(10000);
        reportEnd(starts().at(0), RunOutcome::Failed);
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
        m_now += Duration(10000);
        reportEnd(starts().at(0), RunOutcome::Failed);
        CPPUNIT_ASSERT(phase() == JobPhase::Failed);
    }

    auto limitLowered_nextFailure_jobFails() -> void
    {
        reportEnd(startOne(), RunOutcome::Failed);
        setLimit(1);
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
        reportEnd(starts().at(0), RunOutcome::Failed);
        CPPUNIT_ASSERT(phase() == JobPhase::Failed);
    }

    auto queueRemovedAndAddedWithLowerLimit_noFailureBetween_jobGoesOn() -> void
    {
        reportEnd(startOne(), RunOutcome::Failed);
        const auto rules = m_scheduler.m_rules;
        auto without = rules;
        without.m_queues.erase("checks");
        applyRules(m_scheduler, without, m_wall);
        applyRules(m_scheduler, rules, m_wall);
        setLimit(1);
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
    }

    // Guards against an executor that holds room for a run of a dropped job until it ends, when its loss is looked up.
    auto droppedJob_itsReportedRunEnds_executorIsFree() -> void
    {
        const auto start = startOne();
        reportEnd(start, RunOutcome::Done);
        retireJobs(m_scheduler);
        CPPUNIT_ASSERT(!m_scheduler.m_active.contains(job));
        report(start.m_executor, { { start.m_task, start.m_run, {}, 0, 0 } });
        dropJob(m_scheduler, job);
        reportEnd(start, RunOutcome::Stopped);
        CPPUNIT_ASSERT(m_scheduler.m_executors[start.m_executor]->m_runs.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, m_scheduler.m_executors[start.m_executor]->m_used.m_cpuMilliCores);
    }

    auto takeover_runStored_isNotStartedAgain() -> void
    {
        const auto start = takeOver();
        CPPUNIT_ASSERT(starts().empty());
        report(start.m_executor, { { start.m_task, start.m_run, "", 50, 0 } });
        CPPUNIT_ASSERT(starts().empty());
    }

    auto takeover_runNotReported_isStartedAgain() -> void
    {
        const auto start = takeOver();
        report(0, {});
        report(1, {});
        const auto again = starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, again.size());
        CPPUNIT_ASSERT(again[0].m_run > start.m_run);
    }

    auto takeover_executorUnresponsive_keepsTaskUntilEarlierLeasesExpire() -> void
    {
        const auto start = takeOver();
        report(1 - start.m_executor, {});
        m_scheduler.m_executors[start.m_executor]->m_isUnresponsive = true;
        CPPUNIT_ASSERT(starts().empty());
        m_now += Duration(7000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    // Guards against a second run of a task on an executor that has been sent no deadline yet, but holds the lease that
    // the earlier owner granted.
    auto takeover_executorSilentAfterItsAnswer_keepsTaskUntilEarlierLeasesExpire() -> void
    {
        const auto start = takeOver();
        report(1 - start.m_executor, {});
        report(start.m_executor, { { start.m_task, start.m_run, "", 50, 0 } });
        m_scheduler.m_executors[start.m_executor]->m_isUnresponsive = true;
        m_now += Duration(6500);
        CPPUNIT_ASSERT(starts().empty());
        m_now += Duration(200);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    auto run_ofUnknownJob_isStopped() -> void
    {
        const auto actions = report(0, { { { 99, 0, 0, 0 }, 1, "", 10, 0 } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == ActionKind::Stop);
    }

    auto run_reportedAfterItsJobWasRetired_keepsTheJobUntilItEnds() -> void
    {
        const auto start = reportRetired();
        CPPUNIT_ASSERT(!dropJob(m_scheduler, job));
        CPPUNIT_ASSERT(findJob(m_scheduler, job) != nullptr);
        CPPUNIT_ASSERT(m_scheduler.m_active.contains(job));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, evacuate(m_scheduler, start.m_executor));
        const auto actions = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == ActionKind::Stop);
        reportEnd(start, RunOutcome::Stopped);
        checkIsDropped(start);
    }

    auto run_reportedAfterItsJobWasRetired_isLostWithItsLease() -> void
    {
        const auto start = reportRetired();
        dropJob(m_scheduler, job);
        markUnresponsive(*m_scheduler.m_executors[start.m_executor], m_now);
        m_now += Duration(60000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, expireLeases(m_scheduler, m_now));
        checkIsDropped(start);
    }

    auto run_reportedAfterItsJobWasRetired_isLostWithItsExecutor() -> void
    {
        const auto start = reportRetired();
        dropJob(m_scheduler, job);
        markTerminated(m_scheduler, start.m_executor, m_now);
        checkIsDropped(start);
    }

    auto retire_unregisteredWithRun_waitsForItsEnd() -> void
    {
        submit({ step(1, 1000) });
        const auto start = plan().at(0);
        answerStarts({ start });
        const auto id = m_scheduler.m_executors[start.m_executor]->m_entry.m_id;
        unregisterExecutor(m_scheduler, id);
        CPPUNIT_ASSERT(retireExecutors(m_scheduler).empty());
        reportEnd(start, RunOutcome::Done);
        CPPUNIT_ASSERT(retireExecutors(m_scheduler).empty());
        markBatchStored(m_scheduler, m_scheduler.m_openBatch);
        CPPUNIT_ASSERT(retireExecutors(m_scheduler) == std::vector<ExecutorIndex> { start.m_executor });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_scheduler.m_activeExecutors.size());
    }

    auto retire_executorListedAgain_isUsedAgain() -> void
    {
        const auto entry = m_scheduler.m_executors[0]->m_entry;
        unregisterExecutor(m_scheduler, entry.m_id);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, retireExecutors(m_scheduler).size());
        registerExecutor(m_scheduler, entry, m_now, m_now);
        submit({ step(2, 8000) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, plan().size());
    }

    auto evacuate_otherTaskUnavailable_waits() -> void
    {
        startLongRunning();
        setPercent(1, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, evacuate(m_scheduler, 0));
        setPercent(1, 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, evacuate(m_scheduler, 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, evacuate(m_scheduler, 1));
    }

    // Guards against stopping a task that has just become available, while its report still says otherwise and another
    // task of its step is unavailable.
    auto evacuate_ownReportStale_countsOnlyOtherTasks() -> void
    {
        startLongRunning();
        setPercent(0, 0);
        setPercent(1, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, evacuate(m_scheduler, 0));
    }

    // Guards against counting a task on a crashed executor as available.
    auto evacuate_otherOnUnresponsiveExecutor_waits() -> void
    {
        startLongRunning();
        m_scheduler.m_executors[1]->m_isUnresponsive = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, evacuate(m_scheduler, 0));
    }

    // Guards against stopping a task whose start was answered too late, while another task of its step is unavailable.
    auto longRunningStart_unansweredThenReported_isKept() -> void
    {
        const auto start = startLongRunningWithoutAnswer();
        CPPUNIT_ASSERT(starts().empty());
        report(start.m_executor, { { start.m_task, start.m_run, "", 100, 0 } });
        CPPUNIT_ASSERT(plan().empty());
    }

    auto longRunningStart_unansweredAndNotReported_isStopped() -> void
    {
        const auto start = startLongRunningWithoutAnswer();
        m_now += Duration(10);
        report(start.m_executor, {});
        const auto actions = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == ActionKind::Stop);
    }

    // Guards against a second run of a task: the first start was carried out without an answer, and its run had ended
    // when the repeated start arrived.
    auto repeatedStart_runAlreadyEnded_waitsForItsOutcome() -> void
    {
        const auto start = startOne();
        answer(start, StartAnswer::AlreadyEnded, true);
        CPPUNIT_ASSERT(plan().empty());
        reportEnd(start, RunOutcome::Done);
        CPPUNIT_ASSERT(plan().empty());
        CPPUNIT_ASSERT(phase() == JobPhase::Completed);
    }

    auto repeatedStart_noOutcomeInNextPoll_startsAgain() -> void
    {
        const auto start = startOne();
        answer(start, StartAnswer::AlreadyEnded, true);
        m_now += Duration(10);
        report(start.m_executor, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

private:
    auto setLimit(std::uint32_t attempts) -> void
    {
        auto rules = m_scheduler.m_rules;
        rules.m_queues.at("checks").m_maximumAttempts = attempts;
        applyRules(m_scheduler, rules, m_wall);
    }

    static auto gang() -> StepSpec
    {
        auto spec = step(2, 1000);
        spec.m_isGang = true;
        return spec;
    }

    // Takes over a job with one step from its stored progress.
    auto restoreInNewScheduler(const StepSpec& spec) -> void
    {
        const auto stored = progressOf(m_scheduler, *findJob(m_scheduler, job));
        setUp();
        submit({ spec });
        restoreProgress(m_scheduler, job, stored, m_now);
    }

    // Applies the first answer of an executor that has started again.
    auto reportNewLife(ExecutorIndex index, std::vector<ReportedRun> runs) -> void
    {
        ExecutorReport answer;
        answer.m_pollSentAt = m_now;
        answer.m_clockMs = 1;
        answer.m_startedAtMs = m_scheduler.m_executors[index]->m_entry.m_startedAtMs + 1;
        answer.m_runs = std::move(runs);
        std::vector<Action> actions;
        applyReport(m_scheduler, index, answer, m_now, m_wall, actions);
        CPPUNIT_ASSERT(actions.empty());
    }

    auto startLongRunningWithoutAnswer() -> Action
    {
        auto longRunning = step(1, 1000);
        longRunning.m_isLongRunning = true;
        submit({ longRunning });
        const auto start = plan().at(0);
        answer(start, StartAnswer::Unknown, true);
        return start;
    }

    // Starts one task, retires its cancelled job and reports the run once more.
    auto reportRetired() -> Action
    {
        const auto start = startOne();
        cancelJob(m_scheduler, job, m_wall);
        removeRun(m_scheduler, start.m_task, start.m_run, start.m_executor);
        retireJobs(m_scheduler);
        CPPUNIT_ASSERT(m_scheduler.m_active.empty());
        report(start.m_executor, { { start.m_task, start.m_run, "", 10, 0 } });
        return start;
    }

    // The job is retired and dropped, and nothing is in use any more.
    auto checkIsDropped(const Action& start) -> void
    {
        retireJobs(m_scheduler);
        CPPUNIT_ASSERT(m_scheduler.m_active.empty());
        CPPUNIT_ASSERT(dropJob(m_scheduler, job));
        CPPUNIT_ASSERT(findJob(m_scheduler, job) == nullptr);
        CPPUNIT_ASSERT(m_scheduler.m_executors[start.m_executor]->m_runs.empty());
        CPPUNIT_ASSERT(m_scheduler.m_executors[start.m_executor]->m_used == Resources {});
        CPPUNIT_ASSERT(m_scheduler.m_usedByWorkspace.at("team") == Resources {});
    }

    auto startLongRunning() -> void
    {
        auto longRunning = step(2, 1000);
        longRunning.m_isLongRunning = true;
        longRunning.m_perExecutorLimit = 1;
        longRunning.m_maxUnavailable = 1;
        submit({ longRunning });
        answerStarts(plan());
        setPercent(0, 100);
        setPercent(1, 100);
    }

    auto setPercent(ExecutorIndex index, std::int32_t percent) -> void
    {
        const auto run = m_scheduler.m_executors[index]->m_runs.at(0);
        report(index, { { run.m_task, run.m_run, "", percent, 0 } });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TrackRunsTest);

} // namespace hemlockvane::scheduling
