#include "hemlockvane/detail/coordinator/DropJobs.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/Journal.h"
#include "hemlockvane/detail/coordinator/LoadState.h"
#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/coordinator/Submissions.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/scheduling.pb.h"
#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/scheduling/ExecutorReport.h"
#include "hemlockvane/scheduling/JobProgress.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"
#include "shell/coordinator/MemoryStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr scheduling::JobId job = 7;
constexpr std::uint64_t epoch = 2;
constexpr WallMillis hour = 3600000; // Longer than the retention of a final state.
constexpr Duration roundTime { 10 };
constexpr int maximumRounds = 500;

auto submission(WallMillis submittedAt) -> std::string
{
    wire::SubmissionRecord record;
    record.set_queue("checks");
    record.set_submitted_at_ms(submittedAt);
    return encodeKeyedRecord(submissionPrefix + jobIdText(job), record.SerializeAsString());
}

auto runningProgress() -> std::string
{
    scheduling::JobProgress stored;
    stored.m_phase = scheduling::JobPhase::Running;
    scheduling::TaskProgress task;
    task.m_highestRun = 1;
    stored.m_tasks.push_back(task);
    return encodeKeyedRecord(progressPrefix + jobIdText(job), encodeProgress(stored));
}

} // namespace

// A takeover of a job that was submitted long ago and cancelled just now; the earlier owner has not stored its end.
class DropJobsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DropJobsTest);
    CPPUNIT_TEST(cancelledJob_endNotStored_isKept);
    CPPUNIT_TEST(cancelledJob_endStored_isKeptForTheRetention);
    CPPUNIT_TEST(cancelledJob_neverStarted_isKeptForTheRetention);
    CPPUNIT_TEST(endedJob_endUnknown_isKept);
    CPPUNIT_TEST(cancellation_jobNeverSubmitted_isKeptForTheRetention);
    CPPUNIT_TEST(endedJob_runReportedAfterItWasRetired_isKept);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_context = std::make_unique<asio::io_context>();
        m_memory = {};
        m_memory.m_topics[submissionTopic]
            = { submission(wallNow() - hour), encodeKeyedRecord(cancellationPrefix + jobIdText(job), "1") };
        m_memory.m_topics[progressTopic] = { runningProgress() };
    }

    auto tearDown() -> void override
    {
        m_state->m_isStopped = true;
        m_context->stop();
        m_context.reset();
        m_state.reset();
    }

    auto cancelledJob_endNotStored_isKept() -> void
    {
        takeOver();
        CPPUNIT_ASSERT(droppableJobs(*m_state, wallNow()).empty());
        CPPUNIT_ASSERT(droppableJobs(*m_state, wallNow() + hour).empty());
    }

    auto cancelledJob_endStored_isKeptForTheRetention() -> void
    {
        takeOver();
        storeProgress();
        CPPUNIT_ASSERT(droppableJobs(*m_state, wallNow()).empty());
        CPPUNIT_ASSERT(droppableJobs(*m_state, wallNow() + hour) == std::vector<scheduling::JobId> { job });
    }

    auto cancelledJob_neverStarted_isKeptForTheRetention() -> void
    {
        m_memory.m_topics[progressTopic].clear();
        takeOver();
        storeProgress();
        CPPUNIT_ASSERT(droppableJobs(*m_state, wallNow()).empty());
        CPPUNIT_ASSERT(droppableJobs(*m_state, wallNow() + hour) == std::vector<scheduling::JobId> { job });
    }

    // Guards against a store and an owner's memory that fill with cancellations of ids that nobody submitted.
    auto cancellation_jobNeverSubmitted_isKeptForTheRetention() -> void
    {
        m_memory.m_topics[submissionTopic] = { encodeKeyedRecord(cancellationPrefix + jobIdText(job), "1") };
        m_memory.m_topics[progressTopic].clear();
        takeOver();
        CPPUNIT_ASSERT(droppableCancellations(*m_state, wallNow()).empty());
        CPPUNIT_ASSERT(droppableCancellations(*m_state, wallNow() + hour) == std::vector<scheduling::JobId> { job });
    }

    auto endedJob_endUnknown_isKept() -> void
    {
        takeOver();
        storeProgress();
        scheduling::findJob(m_state->m_scheduler, job)->m_endedAt = 0;
        CPPUNIT_ASSERT(droppableJobs(*m_state, wallNow() + hour).empty());
    }

    auto endedJob_runReportedAfterItWasRetired_isKept() -> void
    {
        takeOver();
        storeProgress();
        auto& scheduler = m_state->m_scheduler;
        scheduling::ExecutorEntry entry;
        entry.m_id = "e0";
        const auto now = monotonicNow();
        const auto index = scheduling::registerExecutor(scheduler, entry, now, now);
        scheduling::ExecutorReport report;
        report.m_runs = { { { job, 0, 0, 0 }, 1, {}, 10, 0 } };
        std::vector<scheduling::Action> actions;
        scheduling::applyReport(scheduler, index, report, now, wallNow(), actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, scheduler.m_executors[index]->m_runs.size());
        storeProgress();
        CPPUNIT_ASSERT(droppableJobs(*m_state, wallNow() + hour).empty());
        scheduling::removeRun(scheduler, { job, 0, 0, 0 }, 1, index);
        storeProgress();
        scheduling::retireJobs(scheduler);
        CPPUNIT_ASSERT(droppableJobs(*m_state, wallNow() + hour) == std::vector<scheduling::JobId> { job });
    }

private:
    auto takeOver() -> void
    {
        CoordinatorPorts ports;
        ports.m_store = &m_memory;
        ports.m_metrics = &m_metrics;
        ports.m_executorTopic = "keyed.executors";
        ports.m_decoders.m_job = [](std::string_view) {
            scheduling::JobSpec spec;
            spec.m_steps.resize(1);
            return std::optional(spec);
        };
        m_state = std::make_shared<CoordinatorState>(*m_context, ports, epoch);
        std::optional<bool> isLoaded;
        asio::co_spawn(
            *m_context, loadState(m_state), [&](const std::exception_ptr&, bool result) { isLoaded = result; });
        runUntil([&] { return isLoaded.has_value(); });
        CPPUNIT_ASSERT(isLoaded == true);
        scheduling::retireJobs(m_state->m_scheduler);
    }

    auto storeProgress() -> void
    {
        asio::co_spawn(*m_context, writeJournal(m_state), asio::detached);
        const auto& known = *scheduling::findJob(m_state->m_scheduler, job);
        runUntil([&] { return !known.m_isDirty && scheduling::isFinal(known.m_durablePhase); });
        CPPUNIT_ASSERT(known.m_durablePhase == scheduling::JobPhase::Cancelled);
    }

    template <typename Condition> auto runUntil(Condition condition) -> void
    {
        m_context->restart();
        for (int round = 0; round < maximumRounds && !condition(); ++round)
            m_context->run_for(roundTime);
    }

    std::unique_ptr<asio::io_context> m_context;
    MemoryStore m_memory;
    Metrics m_metrics;
    std::shared_ptr<CoordinatorState> m_state;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DropJobsTest);

} // namespace hemlockvane::detail
