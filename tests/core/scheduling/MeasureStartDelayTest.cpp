#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/MeasureStartDelay.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>

namespace hemlockvane::scheduling {

class MeasureStartDelayTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(MeasureStartDelayTest);
    CPPUNIT_TEST(delay_startsConfirmed_isAboveTheirMean);
    CPPUNIT_TEST(flight_confirmedRefusedOrLost_ends);
    CPPUNIT_TEST(flight_reportedBeforeItsAnswer_endsOnce);
    CPPUNIT_TEST(flight_unanswered_endsBeforeItsRepeat);
    CPPUNIT_TEST(window_full_holdsBackStarts);
    CPPUNIT_TEST(window_fullOfHigherPriority_longRunningTaskIsStarted);
    CPPUNIT_TEST(window_fullOfHigherPriority_idlePoolIsUsed);
    CPPUNIT_TEST(window_slowStarts_shrinks);
    CPPUNIT_TEST(window_quickStartsAfterSlowOnes_grows);
    CPPUNIT_TEST(window_slowStore_doesNotShrink);
    CPPUNIT_TEST_SUITE_END();

public:
    auto delay_startsConfirmed_isAboveTheirMean() -> void
    {
        for (int round = 0; round < 100; ++round)
            measure(Duration(round % 2 == 0 ? 100 : 200), Duration { 0 });
        CPPUNIT_ASSERT(startDelay(m_scheduler) >= Duration(150));
        CPPUNIT_ASSERT(startDelay(m_scheduler) <= Duration(300));
    }

    auto flight_confirmedRefusedOrLost_ends() -> void
    {
        submit({ step(4, 4000) });
        const auto starts = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, inFlight());
        answer(starts[0], StartAnswer::Started);
        answer(starts[1], StartAnswer::Refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, inFlight());
        markTerminated(m_scheduler, 0, m_now);
        markTerminated(m_scheduler, 1, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, inFlight());
    }

    auto flight_reportedBeforeItsAnswer_endsOnce() -> void
    {
        submit({ step(2, 1000) });
        const auto starts = plan();
        report(starts[0].m_executor, { { starts[0].m_task, starts[0].m_run, {}, 0, 0 } });
        answer(starts[0], StartAnswer::Started);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, inFlight());
    }

    auto flight_unanswered_endsBeforeItsRepeat() -> void
    {
        submit({ step(1, 1000) });
        const auto start = plan().at(0);
        noteStartUnanswered(m_scheduler, start, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, inFlight());
        answer(start, StartAnswer::Started);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, inFlight());
    }

    auto window_full_holdsBackStarts() -> void
    {
        m_scheduler.m_startFlow.m_window = 2;
        submit({ step(3, 1000) });
        const auto first = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, first.size());
        CPPUNIT_ASSERT(plan().empty());
        answer(first[0], StartAnswer::Started);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, plan().size());
    }

    // Guards against a long-running task that waits as long as an owner that is behind has more urgent starts.
    auto window_fullOfHigherPriority_longRunningTaskIsStarted() -> void
    {
        CPPUNIT_ASSERT(isStartedBesideHigherPriority(true));
    }

    // Guards against a job that waits although its pool is idle, as long as another pool's queue fills the window.
    auto window_fullOfHigherPriority_idlePoolIsUsed() -> void { CPPUNIT_ASSERT(isStartedBesideHigherPriority(false)); }

    auto window_slowStarts_shrinks() -> void
    {
        m_scheduler.m_startFlow.m_window = 64;
        measure(Duration(3000), Duration { 0 });
        CPPUNIT_ASSERT(m_scheduler.m_startFlow.m_window < 64);
    }

    auto window_quickStartsAfterSlowOnes_grows() -> void
    {
        measure(Duration(3000), Duration { 0 });
        const auto shrunk = m_scheduler.m_startFlow.m_window;
        m_scheduler.m_startFlow.m_isLimited = true;
        submit({ step(2, 1000) });
        const auto starts = plan();
        m_scheduler.m_startFlow.m_isLimited = true;
        answerStarts(starts);
        CPPUNIT_ASSERT_EQUAL(shrunk + starts.size(), m_scheduler.m_startFlow.m_window);
    }

    auto window_slowStore_doesNotShrink() -> void
    {
        measure(Duration(1020), Duration(1000));
        CPPUNIT_ASSERT_EQUAL(StartFlow {}.m_window, m_scheduler.m_startFlow.m_window);
    }

private:
    [[nodiscard]] auto inFlight() const -> std::size_t { return m_scheduler.m_startFlow.m_inFlight; }

    auto answer(const Action& start, StartAnswer how) -> void
    {
        applyStartAnswer(m_scheduler, start.m_executor, start.m_task, start.m_run, how, false, m_now);
    }

    // Whether a task of a queue with lower priority and an idle pool of its own is started within 30 s, while another
    // queue has more to start than the window holds.
    auto isStartedBesideHigherPriority(bool isLongRunning) -> bool
    {
        ExecutorEntry entry;
        entry.m_id = "idle";
        entry.m_startedAtMs = 1;
        entry.m_service = "other";
        entry.m_capacity = { 8000, 16000, 0 };
        m_endedRuns.push_back(0);
        report(registerExecutor(m_scheduler, entry, m_now, m_now), {});
        m_scheduler.m_rules.m_queues["other"] = { "other", 1, 3, 2.0, 600, false };
        auto waiting = step(1, 1000);
        waiting.m_isLongRunning = isLongRunning;
        addOne(1, "other", waiting);
        m_scheduler.m_startFlow.m_window = 8;
        for (JobId next = 100; next < 400; ++next) {
            addOne(next, "checks", step(10, 100));
            const auto starts = plan();
            m_now += Duration(100);
            m_wall += 100;
            for (const auto& start : starts) {
                if (start.m_task.m_job == 1)
                    return true;
                answer(start, StartAnswer::Started);
                reportEnd(start, RunOutcome::Done);
            }
            m_scheduler.m_startFlow.m_window = 8;
        }
        return false;
    }

    auto addOne(JobId id, const std::string& queue, const StepSpec& only) -> void
    {
        JobSpec spec;
        spec.m_id = id;
        spec.m_queue = queue;
        spec.m_workspace = "team";
        spec.m_steps = { only };
        spec.m_submittedAt = m_wall;
        addJob(m_scheduler, std::move(spec), m_now, m_wall);
    }

    // One start that took `delay`, of which it waited `storing` for the store.
    auto measure(Duration delay, Duration storing) -> void
    {
        TaskRun run;
        run.m_orderedAt = m_now;
        noteStartDecided(m_scheduler, run);
        m_now += storing;
        run.m_storedAt = m_now;
        m_now += delay - storing;
        confirmStart(m_scheduler, run, m_now);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MeasureStartDelayTest);

} // namespace hemlockvane::scheduling
