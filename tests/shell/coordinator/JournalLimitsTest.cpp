#include "hemlockvane/detail/coordinator/Journal.h"
#include "hemlockvane/detail/coordinator/ProgressParts.h"
#include "shell/coordinator/OwnerFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <exception>
#include <map>
#include <set>

namespace hemlockvane::detail {

/// A job whose progress takes more than one record, and more than one append, of the store.
class JournalLimitsTest : public OwnerFixture {
    CPPUNIT_TEST_SUITE(JournalLimitsTest);
    CPPUNIT_TEST(job_progressBeyondOneRecord_allJobsRun);
    CPPUNIT_TEST(job_progressBeyondOneRecord_otherJobsOfTheNextOwnerRun);
    CPPUNIT_TEST(takeover_progressInSeveralParts_eachTaskRunsOnce);
    CPPUNIT_TEST(takeover_betweenAppendsOfOneBatch_eachTaskRunsOnce);
    CPPUNIT_TEST(job_ended_furtherPartsAreRemoved);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        OwnerFixture::setUp();
        m_ends.clear();
        m_memory.m_limits = { .m_recordBytes = 8192, .m_requestBytes = 12288 };
        m_spec.m_steps[0].m_taskCount = tasks;
        m_spec.m_steps[0].m_perTask = { 1, 1, 0 };
        list(m_executor, "1");
    }

    // Guards against a record that the store refuses each time, so that nothing of the fleet starts any more.
    auto job_progressBeyondOneRecord_allJobsRun() -> void
    {
        own(1, {});
        runUntil([this] { return m_executors.m_starts.size() == tasks; });
        CPPUNIT_ASSERT_EQUAL(tasks, m_executors.m_starts.size());
        submit(job + 1);
        endRuns();
        runUntil([this] { return m_executors.m_starts.size() == 2 * tasks; });
        CPPUNIT_ASSERT_EQUAL(2 * tasks, m_executors.m_starts.size());
    }

    auto job_progressBeyondOneRecord_otherJobsOfTheNextOwnerRun() -> void
    {
        own(1, {});
        runUntil([this] { return m_executors.m_starts.size() == tasks; });
        m_coordinator->stop();
        submit(job + 1);
        own(2, {});
        runUntil([this] { return m_executors.m_starts.size() == 2 * tasks; });
        checkEachRunsOnce(2 * tasks);
    }

    auto takeover_progressInSeveralParts_eachTaskRunsOnce() -> void
    {
        own(1, {});
        runUntil([this] { return m_executors.m_starts.size() > tasks / 2; });
        endRuns();
        runUntil([this] { return m_executors.m_starts.size() > tasks * 3 / 4; });
        m_coordinator->stop();
        own(2, {});
        completeJob();
        checkEachRunsOnce(tasks);
    }

    // Plays a takeover after each of the appends that the job takes.
    auto takeover_betweenAppendsOfOneBatch_eachTaskRunsOnce() -> void
    {
        std::size_t takeovers = 0;
        for (std::size_t appends = 2;; ++appends) {
            m_memory.m_appendsLeft = appends;
            own(1, {});
            runUntil([this] {
                endRuns(tasksPerPart);
                return m_memory.m_isDown;
            });
            if (!m_memory.m_isDown)
                break;
            m_coordinator->stop();
            settle();
            m_memory.m_isDown = false;
            own(2, {});
            completeJob();
            checkEachRunsOnce(tasks);
            ++takeovers;
            tearDown();
            setUp();
        }
        CPPUNIT_ASSERT(takeovers > 4);
    }

    auto job_ended_furtherPartsAreRemoved() -> void
    {
        own(1, {});
        runUntil([this] { return m_executors.m_starts.size() > tasks / 2; });
        CPPUNIT_ASSERT(countParts() > 1);
        completeJob();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, countParts());
    }

private:
    static constexpr std::size_t tasks = 12 * tasksPerPart;
    const std::string m_executor = "executor-1";

    // Present runs end as done.
    auto endRuns(std::size_t count = tasks) -> void
    {
        auto& life = m_executors.m_lives[m_executor];
        for (; count > 0 && !life.m_runs.empty(); --count) {
            const auto& run = life.m_runs.front();
            life.m_ends.push_back({ ++m_ends[m_executor], run.m_task, run.m_run, scheduling::RunOutcome::Done, {} });
            life.m_runs.erase(life.m_runs.begin());
        }
    }

    auto completeJob() -> void
    {
        auto phase = scheduling::JobPhase::Queued;
        runUntil([&] {
            endRuns();
            boost::asio::co_spawn(*m_context, m_coordinator->statusOf(job),
                [&](const std::exception_ptr&, const std::optional<JobStatusResult>& status) {
                    phase = status ? status->m_phase : phase;
                });
            m_context->run_for(Duration { 5 });
            return phase == scheduling::JobPhase::Completed;
        });
        CPPUNIT_ASSERT(phase == scheduling::JobPhase::Completed);
        settle();
    }

    auto checkEachRunsOnce(std::size_t expected) -> void
    {
        std::set<std::string> started;
        for (const auto& [id, start] : m_executors.m_starts)
            started.insert(taskText(start.m_task));
        CPPUNIT_ASSERT_EQUAL(expected, started.size());
        CPPUNIT_ASSERT_EQUAL(expected, m_executors.m_starts.size());
    }

    // Number of the parts in the journal beyond the first.
    auto countParts() -> std::size_t
    {
        std::map<std::string, std::string> newest;
        for (const auto& bytes : m_memory.m_topics[progressTopic]) {
            const auto record = decodeKeyedRecord(bytes, 0);
            if (record && record->m_key.front() == progressPartPrefix)
                newest[record->m_key] = record->m_value;
        }
        return static_cast<std::size_t>(
            std::count_if(newest.begin(), newest.end(), [](const auto& item) { return !item.second.empty(); }));
    }

    std::map<std::string, std::uint64_t> m_ends; // Number of ends so far, by executor.
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalLimitsTest);

} // namespace hemlockvane::detail
