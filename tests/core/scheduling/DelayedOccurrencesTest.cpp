#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/JobProgress.h"
#include "hemlockvane/scheduling/StoreProgress.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

namespace hemlockvane::scheduling {

/// A scheduled job of which many occurrences are due at once. Guards against memory that grows with the number of
/// occurrences, which the caller chooses: it ended each owner that loaded the job.
class DelayedOccurrencesTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(DelayedOccurrencesTest);
    CPPUNIT_TEST(occurrences_allDueAtOnce_fewAreOpen);
    CPPUNIT_TEST(occurrences_ofManyTasks_oneIsOpen);
    CPPUNIT_TEST(occurrences_allDueAtOnce_eachTaskRunsOnceAndJobCompletes);
    CPPUNIT_TEST(occurrences_withRoom_overlap);
    CPPUNIT_TEST(occurrences_ofManyJobs_areOpenedForEach);
    CPPUNIT_TEST(occurrence_dueLater_isStartedThen);
    CPPUNIT_TEST(occurrence_heldUp_delaysNoOther);
    CPPUNIT_TEST(occurrence_done_releasesItsTasks);
    CPPUNIT_TEST(occurrence_done_reportOfItsRunIsStopped);
    CPPUNIT_TEST(jobs_cancelled_releaseTheirTasks);
    CPPUNIT_TEST(tasks_neverStarted_haveNoStateOfTheirOwn);
    CPPUNIT_TEST(takeover_doneOccurrences_areNotOpenedAgain);
    CPPUNIT_TEST(takeover_progressStoredWithoutLimit_isKept);
    CPPUNIT_TEST_SUITE_END();

public:
    auto occurrences_allDueAtOnce_fewAreOpen() -> void
    {
        submitScheduled(most, 200);
        plan();
        CPPUNIT_ASSERT(!known().m_occurrences.empty());
        CPPUNIT_ASSERT(openTasks() <= largestJob);
        CPPUNIT_ASSERT(known().m_occurrences.size() < 20);
    }

    auto occurrences_ofManyTasks_oneIsOpen() -> void
    {
        submitScheduled(most, largestJob);
        plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, known().m_occurrences.size());
    }

    auto occurrences_allDueAtOnce_eachTaskRunsOnceAndJobCompletes() -> void
    {
        constexpr std::uint32_t count = 300;
        submitScheduled(count, 3);
        const auto started = runToEnd();
        CPPUNIT_ASSERT(phase() == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t { count } * 3, started.size());
        CPPUNIT_ASSERT(std::all_of(started.begin(), started.end(), [](const auto& item) { return item.second == 1; }));
    }

    auto occurrences_withRoom_overlap() -> void
    {
        m_scheduler.m_executors[0]->m_entry.m_capacity = { 1000000, 1000000, 0 };
        ++m_scheduler.m_executors[0]->m_entryVersion;
        submitScheduled(most, 1);
        std::size_t running = 0;
        for (int round = 0; round < 100; ++round) {
            const auto actions = starts();
            answerStarts(actions);
            running += actions.size();
        }
        CPPUNIT_ASSERT(running >= 100);
    }

    auto occurrences_ofManyJobs_areOpenedForEach() -> void
    {
        constexpr JobId jobs = 50;
        for (JobId id = 1; id <= jobs; ++id)
            add(id, most, 200);
        plan();
        std::size_t open = 0;
        for (JobId id = 1; id <= jobs; ++id) {
            open += findJob(m_scheduler, id)->m_occurrences.size();
            CPPUNIT_ASSERT(!findJob(m_scheduler, id)->m_occurrences.empty());
        }
        CPPUNIT_ASSERT(open <= jobs * 20);
    }

    auto occurrence_dueLater_isStartedThen() -> void
    {
        auto spec = scheduled(job, 2, 1);
        spec.m_firstDue = m_wall - 10;
        spec.m_intervalMs = 1000;
        addJob(m_scheduler, std::move(spec), m_now, m_wall);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
        m_wall += 989;
        CPPUNIT_ASSERT(starts().empty());
        m_wall += 1;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts().size());
    }

    // An occurrence of which a task was started does not count against those that have not begun.
    auto occurrence_heldUp_delaysNoOther() -> void
    {
        submitScheduled(100, 1);
        std::set<std::uint32_t> begun;
        for (int round = 0; round < 100; ++round) {
            for (const auto& start : starts()) {
                begun.insert(start.m_task.m_occurrence);
                answer(start, StartAnswer::Refused, false);
            }
            m_now += Duration(1000); // Longer than the pause after a refusal.
        }
        CPPUNIT_ASSERT(begun.size() > 20);
    }

    auto occurrence_done_releasesItsTasks() -> void
    {
        submitScheduled(300, 3);
        for (int round = 0; round < 20; ++round)
            runRound();
        plan(); // The next plan releases what has ended.
        CPPUNIT_ASSERT(known().m_doneBelow > 0);
        CPPUNIT_ASSERT(known().m_occurrences.size() < 20);
        CPPUNIT_ASSERT(known().m_occurrences.begin()->first >= known().m_doneBelow);
        CPPUNIT_ASSERT(progressOf(m_scheduler, known()).m_doneOccurrences.size() < 20);
    }

    auto occurrence_done_reportOfItsRunIsStopped() -> void
    {
        submitScheduled(300, 1);
        for (int round = 0; round < 5; ++round)
            runRound();
        const TaskKey done { job, 0, 0, 0 };
        CPPUNIT_ASSERT(known().m_doneBelow > 0);
        report(1, { { done, 9, {}, 50, 0 } });
        const auto* run = findRun(m_scheduler, done, 9, 1);
        CPPUNIT_ASSERT(run != nullptr);
        CPPUNIT_ASSERT(run->m_phase == RunPhase::Stopping);
        report(1, {}, { { 1000, done, 9, RunOutcome::Failed, {} } });
        plan();
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
        CPPUNIT_ASSERT(!known().m_occurrences.contains(0));
    }

    auto jobs_cancelled_releaseTheirTasks() -> void
    {
        submitScheduled(most, 200);
        plan();
        cancelJob(m_scheduler, job, m_wall);
        for (ExecutorIndex index = 0; index < m_scheduler.m_executors.size(); ++index) {
            for (const auto& run : std::vector(m_scheduler.m_executors[index]->m_runs))
                removeRun(m_scheduler, run.m_task, run.m_run, index);
        }
        plan();
        CPPUNIT_ASSERT(known().m_occurrences.empty());
    }

    auto tasks_neverStarted_haveNoStateOfTheirOwn() -> void
    {
        submit({ step(largestJob, 2000) });
        plan();
        const auto& tasks = known().m_occurrences.at(0).m_steps[0].m_tasks;
        std::size_t own = 0;
        for (auto index = tasks.nextOwnState(0); index < tasks.size(); index = tasks.nextOwnState(index + 1))
            ++own;
        CPPUNIT_ASSERT(own > 0);
        CPPUNIT_ASSERT(own < 200);
    }

    auto takeover_doneOccurrences_areNotOpenedAgain() -> void
    {
        submitScheduled(50, 1);
        for (int round = 0; round < 4; ++round)
            runRound();
        const auto progress = progressOf(m_scheduler, known());
        const auto done = known().m_doneBelow;
        CPPUNIT_ASSERT(done > 0);
        setUp();
        submitScheduled(50, 1);
        restoreProgress(m_scheduler, job, progress, m_now);
        CPPUNIT_ASSERT(known().m_occurrences.empty() || known().m_occurrences.begin()->first >= done);
        for (const auto& [task, count] : runToEnd())
            CPPUNIT_ASSERT(task.m_occurrence >= done);
        CPPUNIT_ASSERT(phase() == JobPhase::Completed);
    }

    // Guards against loss of what was stored before there was a limit: numbers of done occurrences, ends and failures.
    auto takeover_progressStoredWithoutLimit_isKept() -> void
    {
        JobProgress stored;
        stored.m_phase = JobPhase::Running;
        for (std::uint32_t number = 0; number < 40; number += 2)
            stored.m_doneOccurrences.push_back(number);
        stored.m_occurrencesDone = 20;
        for (std::uint32_t number = 1; number < 40; number += 2) {
            TaskProgress task;
            task.m_occurrence = number;
            task.m_highestRun = 3;
            task.m_failures = 2;
            stored.m_tasks.push_back(task);
        }
        submitScheduled(40, 2);
        restoreProgress(m_scheduler, job, stored, m_now);
        CPPUNIT_ASSERT_EQUAL(2U, findTask(m_scheduler, { job, 39, 0, 0 })->m_failures);
        const auto started = runToEnd();
        CPPUNIT_ASSERT(phase() == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 40 }, started.size());
        for (const auto& [task, count] : started)
            CPPUNIT_ASSERT_EQUAL(1U, task.m_occurrence % 2);
    }

private:
    static constexpr std::uint32_t most = 20000; // Occurrences of one job, and tasks of one job.
    static constexpr std::uint32_t largestJob = 20000;

    auto known() const -> Job& { return *findJob(m_scheduler, job); }

    auto scheduled(JobId id, std::uint32_t occurrences, std::uint32_t tasks) -> JobSpec
    {
        JobSpec spec;
        spec.m_id = id;
        spec.m_queue = "checks";
        spec.m_steps = { step(tasks, 500) };
        spec.m_occurrences = occurrences;
        spec.m_firstDue = 1;
        spec.m_intervalMs = 1;
        return spec;
    }

    auto add(JobId id, std::uint32_t occurrences, std::uint32_t tasks) -> void
    {
        addJob(m_scheduler, scheduled(id, occurrences, tasks), m_now, m_wall);
    }

    auto submitScheduled(std::uint32_t occurrences, std::uint32_t tasks) -> void { add(job, occurrences, tasks); }

    auto openTasks() const -> std::size_t
    {
        std::size_t tasks = 0;
        for (const auto& [number, occurrence] : known().m_occurrences)
            tasks += occurrence.m_steps[0].m_tasks.size();
        return tasks;
    }

    // Starts what can be started and lets it end; returns the starts.
    auto runRound() -> std::vector<Action>
    {
        const auto actions = starts();
        answerStarts(actions);
        for (const auto& start : actions)
            reportEnd(start, RunOutcome::Done);
        return actions;
    }

    auto runToEnd() -> std::unordered_map<TaskKey, int>
    {
        std::unordered_map<TaskKey, int> started;
        for (int round = 0; round < 2000 && phase() != JobPhase::Completed; ++round) {
            for (const auto& start : runRound())
                ++started[start.m_task];
        }
        return started;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DelayedOccurrencesTest);

} // namespace hemlockvane::scheduling
