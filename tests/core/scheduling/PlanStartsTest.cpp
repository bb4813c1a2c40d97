#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/Evacuate.h"
#include "hemlockvane/scheduling/PlanStarts.h"
#include "hemlockvane/scheduling/RequestAdvice.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace hemlockvane::scheduling {

class PlanStartsTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(PlanStartsTest);
    CPPUNIT_TEST(tasks_withCapacity_startOnce);
    CPPUNIT_TEST(tasks_beyondCapacity_wait);
    CPPUNIT_TEST(tasks_beyondWorkspaceLimit_wait);
    CPPUNIT_TEST(step_afterAnother_waitsForAllItsTasks);
    CPPUNIT_TEST(step_perExecutorLimit_spreads);
    CPPUNIT_TEST(step_requiredLabel_startsOnlyOnMatchingExecutors);
    CPPUNIT_TEST(gang_withoutCapacityForAll_startsNone);
    CPPUNIT_TEST(gang_withCapacity_sharesRunAndEndsTogether);
    CPPUNIT_TEST(task_failedAtEveryAttempt_failsItsJob);
    CPPUNIT_TEST(task_failed_isRetriedOnAnotherExecutor);
    CPPUNIT_TEST(job_cancelled_stopsItsRuns);
    CPPUNIT_TEST(job_cancelledBeforeSubmission_startsNothing);
    CPPUNIT_TEST(executor_draining_receivesNoStarts);
    CPPUNIT_TEST(executor_failingDifferentJobs_isBackedOff);
    CPPUNIT_TEST(queue_withAdvice_requestsAndUsesTickets);
    CPPUNIT_TEST(occurrence_beforeItsTime_waits);
    CPPUNIT_TEST(job_pastItsObjective_startsAfterOthers);
    CPPUNIT_TEST(job_lateAndBegun_startsBeforeLateOnes);
    CPPUNIT_TEST(jobs_late_leastLateStartsFirst);
    CPPUNIT_TEST(job_pastThreeTimesItsObjective_startsLast);
    CPPUNIT_TEST(duplicate_firstExecutorUnresponsive_startsElsewhere);
    CPPUNIT_TEST(executor_unresponsiveWithARunOfARetiredJob_receivesNoStarts);
    CPPUNIT_TEST(longRunningTask_ended_startsAgain);
    CPPUNIT_TEST(longRunningTasks_manyExecutors_packOnFewAcrossRacks);
    CPPUNIT_TEST(servingTasks_manyExecutors_areSpread);
    CPPUNIT_TEST_SUITE_END();

public:
    auto tasks_withCapacity_startOnce() -> void
    {
        submit({ step(4, 1000) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, plan().size());
        CPPUNIT_ASSERT(plan().empty());
    }

    auto tasks_beyondCapacity_wait() -> void
    {
        submit({ step(5, 4000) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, plan().size());
    }

    auto tasks_beyondWorkspaceLimit_wait() -> void
    {
        m_scheduler.m_rules.m_workspaces["team"].m_limit.m_cpuMilliCores = 2500;
        submit({ step(4, 1000) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, plan().size());
    }

    auto step_afterAnother_waitsForAllItsTasks() -> void
    {
        auto second = step(1, 1000);
        second.m_after = { 0 };
        submit({ step(2, 1000), second });
        const auto first = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, first.size());
        reportEnd(first[0], RunOutcome::Done);
        CPPUNIT_ASSERT(plan().empty());
        reportEnd(first[1], RunOutcome::Done);
        const auto last = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, last.size());
        reportEnd(last[0], RunOutcome::Done);
        CPPUNIT_ASSERT(phase() == JobPhase::Completed);
    }

    auto step_perExecutorLimit_spreads() -> void
    {
        auto spread = step(3, 100);
        spread.m_perExecutorLimit = 1;
        submit({ spread });
        const auto starts = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, starts.size());
        CPPUNIT_ASSERT(starts[0].m_executor != starts[1].m_executor);
    }

    auto step_requiredLabel_startsOnlyOnMatchingExecutors() -> void
    {
        auto labelled = step(2, 100);
        labelled.m_requiredLabel = "rack-e1";
        submit({ labelled });
        for (const auto& start : plan())
            CPPUNIT_ASSERT_EQUAL(ExecutorIndex { 1 }, start.m_executor);
    }

    auto gang_withoutCapacityForAll_startsNone() -> void
    {
        auto gang = step(5, 4000);
        gang.m_isGang = true;
        submit({ gang });
        CPPUNIT_ASSERT(plan().empty());
    }

    auto gang_withCapacity_sharesRunAndEndsTogether() -> void
    {
        auto gang = step(3, 4000);
        gang.m_isGang = true;
        submit({ gang });
        const auto starts = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, starts.size());
        CPPUNIT_ASSERT_EQUAL(starts[0].m_run, starts[2].m_run);
        reportEnd(starts[0], RunOutcome::Done);
        CPPUNIT_ASSERT(phase() == JobPhase::Completed);
    }

    auto task_failedAtEveryAttempt_failsItsJob() -> void
    {
        submit({ step(1, 1000) });
        for (int attempt = 0; attempt < 3; ++attempt) {
            const auto starts = plan();
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts.size());
            reportEnd(starts[0], RunOutcome::Failed);
        }
        CPPUNIT_ASSERT(phase() == JobPhase::Failed);
        CPPUNIT_ASSERT(plan().empty());
    }

    auto task_failed_isRetriedOnAnotherExecutor() -> void
    {
        submit({ step(1, 1000) });
        const auto first = plan();
        reportEnd(first[0], RunOutcome::Failed);
        CPPUNIT_ASSERT(plan()[0].m_executor != first[0].m_executor);
    }

    auto job_cancelled_stopsItsRuns() -> void
    {
        submit({ step(2, 1000) });
        answerStarts(plan());
        cancelJob(m_scheduler, job, m_wall);
        const auto actions = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == ActionKind::Stop);
    }

    auto job_cancelledBeforeSubmission_startsNothing() -> void
    {
        cancelJob(m_scheduler, job, m_wall);
        submit({ step(2, 1000) });
        CPPUNIT_ASSERT(plan().empty());
        CPPUNIT_ASSERT(phase() == JobPhase::Cancelled);
    }

    auto executor_draining_receivesNoStarts() -> void
    {
        m_scheduler.m_executors[0]->m_entry.m_isDraining = true;
        submit({ step(4, 1000) });
        for (const auto& start : plan())
            CPPUNIT_ASSERT_EQUAL(ExecutorIndex { 1 }, start.m_executor);
    }

    auto executor_failingDifferentJobs_isBackedOff() -> void
    {
        for (JobId other = 1; other <= 2; ++other)
            report(0, {}, { { ++m_endedRuns[0], { other, 0, 0, 0 }, 1, RunOutcome::Failed, "" } });
        submit({ step(4, 1000) });
        for (const auto& start : plan())
            CPPUNIT_ASSERT_EQUAL(ExecutorIndex { 1 }, start.m_executor);
    }

    auto queue_withAdvice_requestsAndUsesTickets() -> void
    {
        m_scheduler.m_rules.m_queues["checks"].m_needsAdvice = true;
        submit({ step(2, 1000) });
        const auto adviceRequests = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, adviceRequests.size());
        CPPUNIT_ASSERT(adviceRequests[0].m_kind == ActionKind::AskAdvice);
        CPPUNIT_ASSERT(plan().empty());
        applyAdvice(m_scheduler, adviceRequests[0].m_task, { { "e1", "ticket" } }, Duration(3000), m_now);
        const auto starts = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, starts.size());
        CPPUNIT_ASSERT_EQUAL(ExecutorIndex { 1 }, starts[0].m_executor);
        CPPUNIT_ASSERT_EQUAL(std::string("ticket"), starts[0].m_ticket);
    }

    auto occurrence_beforeItsTime_waits() -> void
    {
        JobSpec spec;
        spec.m_id = job;
        spec.m_queue = "checks";
        spec.m_steps = { step(1, 1000) };
        spec.m_occurrences = 2;
        spec.m_firstDue = m_wall + 100;
        spec.m_intervalMs = 1000;
        addJob(m_scheduler, spec, m_now, m_wall);
        CPPUNIT_ASSERT(plan().empty());
        m_wall += 100;
        const auto first = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, first.size());
        reportEnd(first[0], RunOutcome::Done);
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
        m_wall += 1000;
        reportEnd(plan().at(0), RunOutcome::Done);
        CPPUNIT_ASSERT(phase() == JobPhase::Completed);
    }

    auto job_pastItsObjective_startsAfterOthers() -> void
    {
        submit({ step(1, 8000) });
        m_wall += 5000; // The first job's objective is 1.6 s.
        JobSpec fresh;
        fresh.m_id = job + 1;
        fresh.m_queue = "checks";
        fresh.m_steps = { step(2, 8000) };
        fresh.m_submittedAt = m_wall;
        addJob(m_scheduler, fresh, m_now, m_wall);
        const auto starts = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, starts.size());
        CPPUNIT_ASSERT_EQUAL(job + 1, starts[0].m_task.m_job);
        CPPUNIT_ASSERT_EQUAL(job + 1, starts[1].m_task.m_job);
    }

    auto job_lateAndBegun_startsBeforeLateOnes() -> void
    {
        auto second = step(1, 8000);
        second.m_after = { 0 };
        submit({ step(1, 8000), second });
        const auto first = plan().at(0);
        drainOther(first.m_executor);
        addAt(job + 1, m_wall - 500); // Its deadline is the earlier one.
        m_wall += 3000;
        reportEnd(first, RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(job, plan().at(0).m_task.m_job);
    }

    auto jobs_late_leastLateStartsFirst() -> void
    {
        drainOther(0);
        submit({ step(1, 8000) });
        m_wall += 500;
        addAt(job + 1, m_wall);
        m_wall += 2000;
        CPPUNIT_ASSERT_EQUAL(job + 1, plan().at(0).m_task.m_job);
    }

    auto job_pastThreeTimesItsObjective_startsLast() -> void
    {
        auto second = step(1, 8000);
        second.m_after = { 0 };
        submit({ step(1, 8000), second });
        const auto first = plan().at(0);
        drainOther(first.m_executor);
        m_wall += 10000;
        addAt(job + 1, m_wall);
        m_wall += 2000;
        reportEnd(first, RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(job + 1, plan().at(0).m_task.m_job);
    }

    auto duplicate_firstExecutorUnresponsive_startsElsewhere() -> void
    {
        auto duplicated = step(1, 1000);
        duplicated.m_allowsDuplicates = true;
        submit({ duplicated });
        const auto first = plan();
        m_scheduler.m_executors[first[0].m_executor]->m_isUnresponsive = true;
        const auto second = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, second.size());
        CPPUNIT_ASSERT(second[0].m_executor != first[0].m_executor);
        CPPUNIT_ASSERT(plan().empty());
    }

    // A run of an ended job may be reported again after the job was retired; the job is then kept.
    auto executor_unresponsiveWithARunOfARetiredJob_receivesNoStarts() -> void
    {
        submit({ step(1, 1000) });
        const auto first = plan();
        cancelJob(m_scheduler, job, m_wall);
        removeRun(m_scheduler, first[0].m_task, first[0].m_run, first[0].m_executor);
        retireJobs(m_scheduler);
        report(first[0].m_executor, { { first[0].m_task, first[0].m_run, "", 10, 0 } });
        CPPUNIT_ASSERT(!dropJob(m_scheduler, job));
        m_scheduler.m_executors[first[0].m_executor]->m_isUnresponsive = true;
        JobSpec fresh;
        fresh.m_id = job + 1;
        fresh.m_queue = "checks";
        fresh.m_steps = { step(2, 1000) };
        fresh.m_submittedAt = m_wall;
        addJob(m_scheduler, fresh, m_now, m_wall);
        std::vector<Action> starts;
        planStarts(m_scheduler, m_now, m_wall, starts);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, starts.size());
        for (const auto& start : starts)
            CPPUNIT_ASSERT(start.m_executor != first[0].m_executor);
    }

    auto longRunningTask_ended_startsAgain() -> void
    {
        auto longRunning = step(1, 1000);
        longRunning.m_isLongRunning = true;
        submit({ longRunning });
        for (int round = 0; round < 5; ++round)
            reportEnd(plan().at(0), round % 2 == 0 ? RunOutcome::Failed : RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, plan().size());
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
    }

    auto longRunningTasks_manyExecutors_packOnFewAcrossRacks() -> void
    {
        for (int index = 2; index < 8; ++index)
            addExecutor("e" + std::to_string(index));
        auto longRunning = step(6, 1000);
        longRunning.m_isLongRunning = true;
        longRunning.m_maxUnavailable = 1;
        submit({ longRunning });
        const auto counts = countByExecutor(plan());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, counts.size());
        for (const auto& [executor, count] : counts)
            CPPUNIT_ASSERT_EQUAL(2, count);
    }

    auto servingTasks_manyExecutors_areSpread() -> void
    {
        for (int index = 2; index < 6; ++index)
            addExecutor("e" + std::to_string(index));
        auto serving = step(6, 1000);
        serving.m_isLongRunning = true;
        serving.m_targetMs = 50;
        submit({ serving });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 6 }, countByExecutor(plan()).size());
    }

private:
    // Leaves one executor for the jobs of a test.
    auto drainOther(ExecutorIndex index) -> void { m_scheduler.m_executors[1 - index]->m_entry.m_isDraining = true; }

    auto addAt(JobId id, WallMillis submittedAt) -> void
    {
        JobSpec spec;
        spec.m_id = id;
        spec.m_queue = "checks";
        spec.m_steps = { step(1, 8000) };
        spec.m_submittedAt = submittedAt;
        addJob(m_scheduler, std::move(spec), m_now, m_wall);
    }

    static auto countByExecutor(const std::vector<Action>& actions) -> std::map<ExecutorIndex, int>
    {
        std::map<ExecutorIndex, int> counts;
        for (const auto& action : actions)
            ++counts[action.m_executor];
        return counts;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlanStartsTest);

} // namespace hemlockvane::scheduling
