#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/BlameCrashes.h"
#include "hemlockvane/scheduling/MeasureStartDelay.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::scheduling {

/// An executor that crashes and starts again under its id, about the time at which a start is sent to it.
class EndedLifeTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(EndedLifeTest);
    CPPUNIT_TEST(newLife_listedAfterItConfirmedAStart_taskIsNotStartedElsewhere);
    CPPUNIT_TEST(newLife_listedWhileAStartIsInFlight_taskIsNotStartedElsewhere);
    CPPUNIT_TEST(newLife_knownFromAPollSentBeforeTheStart_taskIsNotStartedElsewhere);
    CPPUNIT_TEST(newLife_listedAfterATakeover_runOfEarlierOwnerIsKept);
    CPPUNIT_TEST(newLife_doesNotListAConfirmedRun_taskIsStartedElsewhere);
    CPPUNIT_TEST(newLife_doesNotListARunConfirmedLater_taskIsStartedElsewhere);
    CPPUNIT_TEST(newLife_doesNotListRunOfEarlierOwner_taskIsStartedElsewhere);
    CPPUNIT_TEST(newLife_listed_reportedRunsAreLostAtOnce);
    CPPUNIT_TEST(newLife_startHadAnUnansweredRequest_reportedRunIsKeptUntilItAnswers);
    CPPUNIT_TEST(newLife_startHadAnUnansweredRequestLongAgo_reportedRunIsLostAtOnce);
    CPPUNIT_TEST(newLife_silent_runIsKeptUntilItsLeaseHasExpired);
    CPPUNIT_TEST(newLife_silentAndAStartWasNotAnswered_runIsKeptUntilItCannotArriveAnyMore);
    CPPUNIT_TEST(newLife_silentAfterItsAnswer_runIsKeptUntilItsLeaseHasExpired);
    CPPUNIT_TEST(newLife_silentAfterALaterStart_runIsKeptForTheLongestLease);
    CPPUNIT_TEST(newLife_answersAStartWithAnEarlierClock_runIsKeptForTheLongestLease);
    CPPUNIT_TEST(newLife_longestLeaseHasExpired_isForgottenOnce);
    CPPUNIT_TEST(newLife_knownFromAnAnswer_isReconciledByTheNextOne);
    CPPUNIT_TEST(newLife_listedDuringAPoll_isReconciledByTheNextOne);
    CPPUNIT_TEST(newLife_afterItHasAnswered_laterStartsHaveUsualLeases);
    CPPUNIT_TEST(newLife_ofAnotherService_runIsStopped);
    CPPUNIT_TEST(newLife_withoutTheLabel_runIsStopped);
    CPPUNIT_TEST(stop_answeredByEarlierLife_isRepeated);
    CPPUNIT_TEST(crash_suspectsKnownOneAfterTheOther_noneIsOnlySuspect);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second run of a task whose start was carried out by a life that is not known yet.
    auto newLife_listedAfterItConfirmedAStart_taskIsNotStartedElsewhere() -> void
    {
        const auto start = startConfirmed();
        list(start.m_executor);
        CPPUNIT_ASSERT(starts().empty());
        report(start.m_executor, { { start.m_task, start.m_run, "", 10, 0 } });
        CPPUNIT_ASSERT(starts().empty());
        reportEnd(start, RunOutcome::Done);
        CPPUNIT_ASSERT(phase() == JobPhase::Completed);
    }

    auto newLife_listedWhileAStartIsInFlight_taskIsNotStartedElsewhere() -> void
    {
        const auto start = startSent();
        list(start.m_executor);
        report(start.m_executor, {});
        CPPUNIT_ASSERT(starts().empty());
        answer(start, StartAnswer::Started, false);
        CPPUNIT_ASSERT(starts().empty());
        report(start.m_executor, { { start.m_task, start.m_run, "", 10, 0 } });
        CPPUNIT_ASSERT(starts().empty());
    }

    auto newLife_knownFromAPollSentBeforeTheStart_taskIsNotStartedElsewhere() -> void
    {
        auto earlier = answerOf(0);
        ++earlier.m_startedAtMs;
        m_now += callTime;
        const auto start = startConfirmed();
        CPPUNIT_ASSERT_EQUAL(ExecutorIndex { 0 }, start.m_executor);
        std::vector<Action> actions;
        applyReport(m_scheduler, 0, earlier, m_now, m_wall, actions);
        CPPUNIT_ASSERT(starts().empty());
    }

    auto newLife_listedAfterATakeover_runOfEarlierOwnerIsKept() -> void
    {
        const auto start = takeOver();
        list(start.m_executor);
        report(1 - start.m_executor, {});
        CPPUNIT_ASSERT(starts().empty());
        report(start.m_executor, { { start.m_task, start.m_run, "", 10, 0 } });
        CPPUNIT_ASSERT(starts().empty());
    }

    auto newLife_doesNotListAConfirmedRun_taskIsStartedElsewhere() -> void
    {
        const auto start = startConfirmed();
        list(start.m_executor);
        report(start.m_executor, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    auto newLife_doesNotListARunConfirmedLater_taskIsStartedElsewhere() -> void
    {
        const auto start = startSent();
        list(start.m_executor);
        const auto earlier = answerOf(start.m_executor);
        m_now += callTime;
        answer(start, StartAnswer::Started, false);
        std::vector<Action> actions;
        applyReport(m_scheduler, start.m_executor, earlier, m_now, m_wall, actions);
        CPPUNIT_ASSERT(starts().empty());
        report(start.m_executor, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    auto newLife_doesNotListRunOfEarlierOwner_taskIsStartedElsewhere() -> void
    {
        const auto start = takeOver();
        list(start.m_executor);
        report(start.m_executor, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    auto newLife_listed_reportedRunsAreLostAtOnce() -> void
    {
        const auto start = startConfirmed();
        report(start.m_executor, { { start.m_task, start.m_run, "", 10, 0 } });
        list(start.m_executor);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    // Guards against a second run of a task beside one that the new life starts on the first of two requests, while the
    // second one had been carried out by the earlier life.
    auto newLife_startHadAnUnansweredRequest_reportedRunIsKeptUntilItAnswers() -> void
    {
        const auto start = startReportedAfterARepeat();
        list(start.m_executor);
        CPPUNIT_ASSERT(starts().empty());
        report(start.m_executor, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    auto newLife_startHadAnUnansweredRequestLongAgo_reportedRunIsLostAtOnce() -> void
    {
        const auto start = startReportedAfterARepeat();
        m_now += m_latestArrival;
        list(start.m_executor);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    // The deadline that the new life received was a time on the clock of the earlier one.
    auto newLife_silent_runIsKeptUntilItsLeaseHasExpired() -> void
    {
        const auto start = startConfirmed();
        list(start.m_executor);
        markUnresponsive(*m_scheduler.m_executors[start.m_executor], m_now);
        m_now += m_scheduler.m_timing.m_longestHold;
        CPPUNIT_ASSERT(starts().empty());
        m_now += m_scheduler.m_timing.m_longestHold / clockDriftDivisor + m_scheduler.m_timing.m_leaseSlack + callTime;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    // Guards against a second run of a task beside one that the new life starts late, and out of reach.
    auto newLife_silentAndAStartWasNotAnswered_runIsKeptUntilItCannotArriveAnyMore() -> void
    {
        const auto start = startSent();
        const auto sentAt = m_now;
        noteStartUnanswered(m_scheduler, start, m_now);
        list(start.m_executor);
        markUnresponsive(*m_scheduler.m_executors[start.m_executor], m_now);
        m_now = sentAt + m_latestArrival + m_scheduler.m_timing.m_longestHold;
        CPPUNIT_ASSERT(starts().empty());
        m_now += m_scheduler.m_timing.m_longestHold / clockDriftDivisor + m_scheduler.m_timing.m_leaseSlack + callTime;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    auto newLife_silentAfterItsAnswer_runIsKeptUntilItsLeaseHasExpired() -> void
    {
        const auto start = startConfirmed();
        list(start.m_executor);
        report(start.m_executor, { { start.m_task, start.m_run, "", 10, 0 } });
        markUnresponsive(*m_scheduler.m_executors[start.m_executor], m_now);
        m_now += m_scheduler.m_timing.m_longestHold;
        CPPUNIT_ASSERT(starts().empty());
    }

    // Guards against a second run of a task beside the one on an executor that had started again and was cut off: until
    // it had answered, a poll that was meant for its earlier life may have given it the longest lease.
    auto newLife_silentAfterALaterStart_runIsKeptForTheLongestLease() -> void
    {
        m_scheduler.m_executors[1]->m_isReserved = true;
        list(0);
        report(0, {});
        const auto answeredAt = m_now;
        m_now += callTime;
        submit({ step(1, 1000) });
        const auto start = plan().at(0);
        CPPUNIT_ASSERT_EQUAL(ExecutorIndex { 0 }, start.m_executor);
        noteStartSent(m_scheduler, start, m_now);
        answer(start, StartAnswer::Started, false);
        report(0, { { start.m_task, start.m_run, "", 10, 0 } });
        markUnresponsive(*m_scheduler.m_executors[0], m_now);
        m_now = answeredAt + m_scheduler.m_timing.m_longestHold;
        plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_scheduler.m_executors[0]->m_runs.size());
        m_now += m_scheduler.m_timing.m_longestHold / clockDriftDivisor + m_scheduler.m_timing.m_leaseSlack + callTime;
        plan();
        CPPUNIT_ASSERT(m_scheduler.m_executors[0]->m_runs.empty());
    }

    // Guards against a second run of a task that a life started which neither the registry nor a poll had shown.
    auto newLife_answersAStartWithAnEarlierClock_runIsKeptForTheLongestLease() -> void
    {
        m_scheduler.m_executors[1]->m_isReserved = true;
        const auto start = startConfirmed();
        auto& executor = *m_scheduler.m_executors[0];
        const auto readAtMs = executor.m_clockMs;
        CPPUNIT_ASSERT(!noteStartClock(m_scheduler, 0, readAtMs, readAtMs, m_now));
        CPPUNIT_ASSERT(noteStartClock(m_scheduler, 0, readAtMs - 1, readAtMs, m_now));
        CPPUNIT_ASSERT(!isSchedulable(executor, m_now));
        markUnresponsive(executor, m_now);
        m_now += m_scheduler.m_timing.m_longestHold;
        plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, executor.m_runs.size());
        m_now += m_scheduler.m_timing.m_longestHold / clockDriftDivisor + m_scheduler.m_timing.m_leaseSlack + callTime;
        plan();
        CPPUNIT_ASSERT(executor.m_runs.empty());
    }

    auto newLife_longestLeaseHasExpired_isForgottenOnce() -> void
    {
        list(0);
        m_now += m_scheduler.m_timing.m_longestHold * 2;
        CPPUNIT_ASSERT(forgetEarlierLeases(m_scheduler, m_now).empty());
        report(0, {});
        m_now += m_scheduler.m_timing.m_longestHold;
        CPPUNIT_ASSERT(forgetEarlierLeases(m_scheduler, m_now).empty());
        m_now += m_scheduler.m_timing.m_longestHold / clockDriftDivisor + m_scheduler.m_timing.m_leaseSlack + callTime;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, forgetEarlierLeases(m_scheduler, m_now).size());
        CPPUNIT_ASSERT(forgetEarlierLeases(m_scheduler, m_now).empty());
    }

    // Requests that were sent before that poll may still be carried out.
    auto newLife_knownFromAnAnswer_isReconciledByTheNextOne() -> void
    {
        auto& executor = *m_scheduler.m_executors[0];
        auto first = answerOf(0);
        ++first.m_startedAtMs;
        std::vector<Action> actions;
        applyReport(m_scheduler, 0, first, m_now, m_wall, actions);
        CPPUNIT_ASSERT(!executor.m_isReconciled);
        m_now += callTime;
        report(0, {});
        CPPUNIT_ASSERT(executor.m_isReconciled);
    }

    auto newLife_listedDuringAPoll_isReconciledByTheNextOne() -> void
    {
        list(0);
        auto& executor = *m_scheduler.m_executors[0];
        auto earlier = answerOf(0);
        earlier.m_isForPresentLife = false;
        std::vector<Action> actions;
        applyReport(m_scheduler, 0, earlier, m_now, m_wall, actions);
        CPPUNIT_ASSERT(!executor.m_isReconciled);
        m_now += callTime;
        report(0, {});
        CPPUNIT_ASSERT(executor.m_isReconciled);
    }

    auto newLife_afterItHasAnswered_laterStartsHaveUsualLeases() -> void
    {
        const auto start = startConfirmed();
        list(start.m_executor);
        report(start.m_executor, { { start.m_task, start.m_run, "", 10, 0 } });
        auto& executor = *m_scheduler.m_executors[start.m_executor];
        CPPUNIT_ASSERT(!executor.m_endedLife);
        const auto leaseUntilMs = executor.m_leaseUntilMs;
        m_now += callTime;
        report(start.m_executor, { { start.m_task, start.m_run, "", 20, 0 } });
        CPPUNIT_ASSERT_EQUAL(leaseUntilMs, executor.m_leaseUntilMs);
    }

    auto newLife_ofAnotherService_runIsStopped() -> void
    {
        const auto start = startConfirmed();
        auto entry = nextLife(start.m_executor);
        entry.m_service = "orders";
        checkStops(start, entry);
    }

    auto newLife_withoutTheLabel_runIsStopped() -> void
    {
        auto spec = step(1, 1000);
        spec.m_requiredLabel = "a";
        submit({ spec });
        const auto start = plan().at(0);
        answerStarts({ start });
        auto entry = nextLife(start.m_executor);
        entry.m_labels.front() = "b";
        checkStops(start, entry);
    }

    // Guards against a start that the new life carries out after its stop was answered by the earlier one.
    auto stop_answeredByEarlierLife_isRepeated() -> void
    {
        const auto start = startSent();
        answer(start, StartAnswer::Unknown, false);
        plan();
        applyStopAnswer(m_scheduler, start.m_executor, start.m_task, start.m_run, m_now);
        list(start.m_executor);
        report(start.m_executor, {});
        const auto actions = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == ActionKind::Stop);
    }

    auto crash_suspectsKnownOneAfterTheOther_noneIsOnlySuspect() -> void
    {
        submit({ step(2, 1000) });
        for (int crash = 0; crash < 2; ++crash) {
            const auto sent = plan();
            answerStarts(sent);
            const auto index = sent.at(0).m_executor;
            m_now += callTime;
            report(index, { { sent[0].m_task, sent[0].m_run, "", 10, 0 } });
            m_now += callTime;
            list(index);
            report(index, {});
            m_now += m_scheduler.m_timing.m_failureBackoff;
            // Puts both on one executor again.
            for (std::uint32_t task = 0; task < 2; ++task)
                findTask(m_scheduler, { job, 0, 0, task })->m_needsTrial = false;
        }
        plan();
        CPPUNIT_ASSERT(phase() != JobPhase::Failed);
    }

private:
    static constexpr Duration callTime { 10 };
    const Duration m_latestArrival = m_scheduler.m_timing.m_latestArrival;
    static constexpr int clockDriftDivisor = 49; // A clock that is 2 % slow needs 1/49 more.

    auto nextLife(ExecutorIndex index) -> ExecutorEntry
    {
        auto entry = m_scheduler.m_executors[index]->m_entry;
        ++entry.m_startedAtMs;
        return entry;
    }

    // The registry shows the next life.
    auto list(ExecutorIndex index) -> void
    {
        registerExecutor(m_scheduler, nextLife(index), m_now, m_now);
        m_endedRuns[index] = 0;
        m_now += callTime;
    }

    // An answer without runs to a poll that is sent now.
    auto answerOf(ExecutorIndex index) -> ExecutorReport
    {
        ExecutorReport answer;
        answer.m_pollSentAt = m_now;
        answer.m_clockMs = m_now.time_since_epoch().count();
        answer.m_startedAtMs = m_scheduler.m_executors[index]->m_entry.m_startedAtMs;
        return answer;
    }

    auto startSent() -> Action
    {
        const auto start = startOne();
        noteStartSent(m_scheduler, start, m_now);
        return start;
    }

    auto startConfirmed() -> Action
    {
        const auto start = startSent();
        answer(start, StartAnswer::Started, false);
        return start;
    }

    auto startReportedAfterARepeat() -> Action
    {
        const auto start = startSent();
        noteStartUnanswered(m_scheduler, start, m_now);
        m_now += callTime;
        answer(start, StartAnswer::Started, true);
        report(start.m_executor, { { start.m_task, start.m_run, "", 10, 0 } });
        return start;
    }

    auto checkStops(const Action& start, const ExecutorEntry& entry) -> void
    {
        registerExecutor(m_scheduler, entry, m_now, m_now);
        m_now += callTime;
        report(start.m_executor, { { start.m_task, start.m_run, "", 10, 0 } });
        const auto actions = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == ActionKind::Stop);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndedLifeTest);

} // namespace hemlockvane::scheduling
