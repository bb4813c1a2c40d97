#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/Evacuate.h"
#include "hemlockvane/scheduling/JobProgress.h"
#include "hemlockvane/scheduling/StoreProgress.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::scheduling {

class TrackRunsTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(TrackRunsTest);
    CPPUNIT_TEST(start_unanswered_isStoppedBeforeItRunsElsewhere);
    CPPUNIT_TEST(start_refusedAfterUnansweredOne_isStopped);
    CPPUNIT_TEST(start_withoutRoom_isFreeAtOnce);
    CPPUNIT_TEST(executor_silent_keepsTasksUntilLeaseLapses);
    CPPUNIT_TEST(executor_bornAgain_losesItsRuns);
    CPPUNIT_TEST(executor_gone_isNotListedAgainWithTheSameStart);
    CPPUNIT_TEST(end_reportedAgain_countsOnce);
    CPPUNIT_TEST(end_notStored_mayNotBeForgotten);
    CPPUNIT_TEST(takeover_runStored_isNotStartedAgain);
    CPPUNIT_TEST(takeover_runNotThere_isStartedAgain);
    CPPUNIT_TEST(takeover_executorSilent_keepsTaskUntilEarlierLeasesLapse);
    CPPUNIT_TEST(run_ofUnknownJob_isStopped);
    CPPUNIT_TEST(evacuate_othersAway_waits);
    CPPUNIT_TEST(evacuate_ownReportOld_countsOthersOnly);
    CPPUNIT_TEST(evacuate_otherOnSilentExecutor_waits);
    CPPUNIT_TEST(lastingStart_unanswered_isKeptOnceLookListsIt);
    CPPUNIT_TEST(lastingStart_unanswered_isStoppedOnceLookLacksIt);
    CPPUNIT_TEST(repeatedStart_runEndedThere_waitsForItsEnd);
    CPPUNIT_TEST(repeatedStart_noEndInTheNextLook_startsAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    auto start_unanswered_isStoppedBeforeItRunsElsewhere() -> void
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
        answer(start, StartAnswer::NoRoom, true);
        CPPUNIT_ASSERT(starts().empty());
    }

    auto start_withoutRoom_isFreeAtOnce() -> void
    {
        const auto start = startOne();
        answer(start, StartAnswer::NoRoom, false);
        const auto again = starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, again.size());
        CPPUNIT_ASSERT(again[0].m_executor != start.m_executor);
    }

    auto executor_silent_keepsTasksUntilLeaseLapses() -> void
    {
        const auto start = startOne();
        auto& executor = *m_scheduler.m_executors[start.m_executor];
        executor.m_leaseUntilMs = executor.m_clockMs + 4000;
        executor.m_isSilent = true;
        m_now += Duration(4400); // 4,312 ms on a clock that is 2 % slow.
        CPPUNIT_ASSERT(starts().empty());
        m_now += Duration(200);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    auto executor_bornAgain_losesItsRuns() -> void
    {
        const auto start = startOne();
        auto entry = m_scheduler.m_executors[start.m_executor]->m_entry;
        entry.m_bornMs = 2;
        listExecutor(m_scheduler, entry, m_now, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    auto executor_gone_isNotListedAgainWithTheSameStart() -> void
    {
        loseExecutor(m_scheduler, 0);
        const auto entry = m_scheduler.m_executors[0]->m_entry;
        listExecutor(m_scheduler, entry, m_now, m_now);
        CPPUNIT_ASSERT(!isUsable(*m_scheduler.m_executors[0], m_now));
    }

    auto end_reportedAgain_countsOnce() -> void
    {
        const auto start = startOne();
        const ReportedEnd failed { 1, start.m_task, start.m_run, EndKind::Failed, "" };
        report(start.m_executor, {}, { failed });
        report(start.m_executor, {}, { failed });
        CPPUNIT_ASSERT_EQUAL(1U, findTask(m_scheduler, start.m_task)->m_failures);
    }

    auto end_notStored_mayNotBeForgotten() -> void
    {
        const auto start = startOne();
        end(start, EndKind::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, m_scheduler.m_executors[start.m_executor]->m_lastSeen);
        noteStored(m_scheduler, m_scheduler.m_openBatch);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, m_scheduler.m_executors[start.m_executor]->m_lastSeen);
    }

    auto takeover_runStored_isNotStartedAgain() -> void
    {
        const auto start = takeOver();
        CPPUNIT_ASSERT(starts().empty());
        report(start.m_executor, { { start.m_task, start.m_run, "", 50, 0 } });
        CPPUNIT_ASSERT(starts().empty());
    }

    auto takeover_runNotThere_isStartedAgain() -> void
    {
        const auto start = takeOver();
        report(0, {});
        report(1, {});
        const auto again = starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, again.size());
        CPPUNIT_ASSERT(again[0].m_run > start.m_run);
    }

    auto takeover_executorSilent_keepsTaskUntilEarlierLeasesLapse() -> void
    {
        const auto start = takeOver();
        report(1 - start.m_executor, {});
        m_scheduler.m_executors[start.m_executor]->m_isSilent = true;
        CPPUNIT_ASSERT(starts().empty());
        m_now += Duration(7000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    auto run_ofUnknownJob_isStopped() -> void
    {
        const auto actions = report(0, { { { 99, 0, 0, 0 }, 1, "", 10, 0 } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == ActionKind::Stop);
    }

    auto evacuate_othersAway_waits() -> void
    {
        startLasting();
        setPercent(1, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, evacuate(m_scheduler, 0));
        setPercent(1, 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, evacuate(m_scheduler, 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, evacuate(m_scheduler, 1));
    }

    // Roata trouble-2: the task on the executor itself had just come to work, its report was a second old.
    auto evacuate_ownReportOld_countsOthersOnly() -> void
    {
        startLasting();
        setPercent(0, 0);
        setPercent(1, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, evacuate(m_scheduler, 0));
    }

    // Maraval trouble-3: a task on a crashed executor was taken for at work.
    auto evacuate_otherOnSilentExecutor_waits() -> void
    {
        startLasting();
        m_scheduler.m_executors[1]->m_isSilent = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, evacuate(m_scheduler, 0));
    }

    // Grown Maraval scale-2: a start that was answered too late was stopped while another task of its step was away.
    auto lastingStart_unanswered_isKeptOnceLookListsIt() -> void
    {
        const auto start = startLastingWithoutAnswer();
        CPPUNIT_ASSERT(starts().empty());
        report(start.m_executor, { { start.m_task, start.m_run, "", 100, 0 } });
        CPPUNIT_ASSERT(plan().empty());
    }

    auto lastingStart_unanswered_isStoppedOnceLookLacksIt() -> void
    {
        const auto start = startLastingWithoutAnswer();
        m_now += Duration(10);
        report(start.m_executor, {});
        const auto actions = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == ActionKind::Stop);
    }

    // Roata hunt-2eef-23: the first try had been carried out, its task was done when the second one arrived.
    auto repeatedStart_runEndedThere_waitsForItsEnd() -> void
    {
        const auto start = startOne();
        answer(start, StartAnswer::AlreadyEnded, true);
        CPPUNIT_ASSERT(plan().empty());
        end(start, EndKind::Done);
        CPPUNIT_ASSERT(plan().empty());
        CPPUNIT_ASSERT(phase() == JobPhase::Completed);
    }

    auto repeatedStart_noEndInTheNextLook_startsAgain() -> void
    {
        const auto start = startOne();
        answer(start, StartAnswer::AlreadyEnded, true);
        m_now += Duration(10);
        report(start.m_executor, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

private:
    auto startLastingWithoutAnswer() -> Action
    {
        auto lasting = step(1, 1000);
        lasting.m_isLasting = true;
        submit({ lasting });
        const auto start = plan().at(0);
        answer(start, StartAnswer::Unknown, true);
        return start;
    }

    auto starts() -> std::vector<Action>
    {
        auto actions = plan();
        std::erase_if(actions, [](const Action& action) { return action.m_kind != ActionKind::Start; });
        return actions;
    }

    auto startOne() -> Action
    {
        submit({ step(1, 1000) });
        return plan().at(0);
    }

    auto answer(const Action& start, StartAnswer how, bool wasRepeated) -> void
    {
        applyStartAnswer(m_scheduler, start.m_executor, start.m_task, start.m_run, how, wasRepeated, m_now);
    }

    // Starts one task, stores its run and hands all over to a new scheduler.
    auto takeOver() -> Action
    {
        const auto start = startOne();
        const auto stored = progressOf(m_scheduler, *findJob(m_scheduler, job));
        m_scheduler = {};
        m_scheduler.m_rules.m_queues["checks"] = { "counter", 0, 3, 2.0, 600, false };
        for (const auto* id : { "e0", "e1" }) {
            ExecutorEntry entry;
            entry.m_id = id;
            entry.m_bornMs = 1;
            entry.m_service = "counter";
            entry.m_capacity = { 8000, 16000, 0 };
            listExecutor(m_scheduler, entry, m_now + Duration(6600), m_now);
        }
        submit({ step(1, 1000) });
        restoreProgress(m_scheduler, job, stored, m_now);
        return start;
    }

    auto startLasting() -> void
    {
        auto lasting = step(2, 1000);
        lasting.m_isLasting = true;
        lasting.m_perExecutorLimit = 1;
        lasting.m_mayMiss = 1;
        submit({ lasting });
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
