#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/Coordinator.h"
#include "hemlockvane/detail/coordinator/Journal.h"
#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/coordinator/Submissions.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/detail/ports/ExecutorPort.h"
#include "hemlockvane/scheduling.pb.h"
#include "hemlockvane/scheduling/FleetRules.h"
#include "hemlockvane/scheduling/JobProgress.h"
#include "shell/coordinator/MemoryStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr scheduling::JobId job = 7;
constexpr std::uint64_t epoch = 2;
constexpr std::uint32_t newestRun = 3; // It has failed, like those before it.
constexpr std::uint32_t maximumAttempts = 4;
const std::string executorTopic = "keyed.executors";
const std::string executorId = "executor-1";
constexpr Duration roundTime { 10 };
constexpr Duration settleTime { 300 }; // Longer than the time between two plans.
constexpr int maximumRounds = 500;

auto executorEntry() -> scheduling::ExecutorEntry
{
    scheduling::ExecutorEntry entry;
    entry.m_id = executorId;
    entry.m_startedAtMs = 1;
    entry.m_service = "orders";
    entry.m_capacity = { 8000, 16000, 0 };
    return entry;
}

// An executor that has no active run, and may report the newest one as failed until this is acknowledged.
class ExecutorWithFailedRun : public ExecutorPort {
public:
    auto start(std::string, std::string, StartRequest order, std::function<bool()>)
        -> asio::awaitable<scheduling::StartAnswer> override
    {
        m_startedRuns.push_back(order.m_run);
        co_return scheduling::StartAnswer::Started;
    }
    auto stop(std::string, std::string, scheduling::TaskKey, std::uint32_t, std::uint64_t, std::function<bool()>)
        -> asio::awaitable<CallOutcome> override
    {
        co_return CallOutcome::Answered;
    }
    auto pace(std::string, std::string, scheduling::TaskKey, std::uint32_t, std::int32_t, std::uint64_t)
        -> asio::awaitable<CallOutcome> override
    {
        co_return CallOutcome::Answered;
    }
    auto poll(std::string, std::string, PollRequest order) -> asio::awaitable<PollResult> override
    {
        PollResult result;
        result.m_outcome = CallOutcome::Answered;
        result.m_report.m_clockMs = monotonicNow().time_since_epoch().count();
        result.m_report.m_startedAtMs = 1;
        if (m_hasFailedRun && order.m_acknowledgedEnd == 0)
            result.m_report.m_endedRuns.push_back(
                { 1, { job, 0, 0, 0 }, newestRun, scheduling::RunOutcome::Failed, {} });
        co_return result;
    }

    std::vector<std::uint32_t> m_startedRuns;
    bool m_hasFailedRun = true;
};

auto submission() -> std::string
{
    wire::SubmissionRecord record;
    record.set_queue("checks");
    return encodeKeyedRecord(submissionPrefix + jobIdText(job), record.SerializeAsString());
}

// As many runs have failed as given; the newest is known to be on the executor.
auto progress(std::uint32_t failures) -> std::string
{
    scheduling::JobProgress stored;
    stored.m_phase = scheduling::JobPhase::Running;
    scheduling::TaskProgress task;
    task.m_failures = failures;
    task.m_highestRun = newestRun;
    stored.m_tasks.push_back(task);
    stored.m_runs.push_back({ { job, 0, 0, 0 }, newestRun, executorId });
    return encodeKeyedRecord(progressPrefix + jobIdText(job), encodeProgress(stored));
}

auto rules() -> scheduling::FleetRules
{
    scheduling::FleetRules rules;
    rules.m_version = 8;
    rules.m_services = { "orders" };
    rules.m_queues["checks"] = { "orders", 0, maximumAttempts, 2.0, 600, false };
    return rules;
}

} // namespace

/// A new owner that could not read the configuration before it took over.
class TakeoverWithoutRulesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TakeoverWithoutRulesTest);
    CPPUNIT_TEST(takeover_failureBeforeRulesAreRead_jobIsStartedAgainOnceTheyAre);
    CPPUNIT_TEST(takeover_lastAttemptFailsBeforeRulesAreRead_jobFailsOnceTheyAre);
    CPPUNIT_TEST(takeover_earlierOwnerCountedLastAttemptWithoutRules_jobFails);
    CPPUNIT_TEST(takeover_rulesAreReadWhileLoading_jobFails);
    CPPUNIT_TEST(takeover_rulesOlderThanPredecessors_jobGoesOnUntilNewerAreRead);
    CPPUNIT_TEST(takeover_rulesOlderThanPredecessors_jobFailsOnceNewerAreRead);
    CPPUNIT_TEST(owner_rulesNotConfirmed_jobFailsOnceTheyAre);
    CPPUNIT_TEST(owner_rules_versionIsStored);
    CPPUNIT_TEST(takeover_rulesOlderThanPredecessors_storedVersionIsKept);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_context = std::make_unique<asio::io_context>();
        m_memory = {};
        m_memory.m_topics[submissionTopic] = { submission() };
        m_memory.m_topics[executorTopic] = { encodeKeyedRecord(executorId, "listed") };
        m_memory.m_topics[progressTopic]
            = { encodeKeyedRecord(executorPrefix + executorId, encodeExecutor({ executorEntry(), false, false })) };
        storeFailures(newestRun - 1);
        m_executors = {};
        CoordinatorPorts ports;
        ports.m_store = &m_memory;
        ports.m_executors = &m_executors;
        ports.m_metrics = &m_metrics;
        ports.m_renewedAt = [] { return monotonicNow(); };
        m_rulesAge = Duration { 0 };
        ports.m_rulesConfirmedAt = [this] { return monotonicNow() - m_rulesAge; };
        ports.m_executorTopic = executorTopic;
        ports.m_decoders.m_job = [](std::string_view) {
            scheduling::JobSpec spec;
            spec.m_steps.resize(1);
            return std::optional(spec);
        };
        ports.m_decoders.m_executor = [](std::string_view, std::string_view) { return executorEntry(); };
        m_coordinator = std::make_shared<Coordinator>(*m_context, ports, epoch);
    }

    auto tearDown() -> void override
    {
        m_coordinator->stop();
        m_context->stop();
        m_context.reset();
    }

    // Guards against a job that fails by the limit of a queue that is not known yet.
    auto takeover_failureBeforeRulesAreRead_jobIsStartedAgainOnceTheyAre() -> void
    {
        m_coordinator->start({});
        runUntil([this] { return storedProgress().m_runs.empty(); });
        CPPUNIT_ASSERT(storedProgress().m_runs.empty());
        CPPUNIT_ASSERT_EQUAL(newestRun, storedProgress().m_tasks.at(0).m_failures);
        CPPUNIT_ASSERT(m_executors.m_startedRuns.empty());
        CPPUNIT_ASSERT(phase() == scheduling::JobPhase::Running);
        m_coordinator->setRules(rules());
        runUntil([this] { return !m_executors.m_startedRuns.empty(); });
        CPPUNIT_ASSERT(m_executors.m_startedRuns == std::vector<std::uint32_t> { newestRun + 1 });
    }

    auto takeover_lastAttemptFailsBeforeRulesAreRead_jobFailsOnceTheyAre() -> void
    {
        storeFailures(maximumAttempts - 1);
        m_coordinator->start({});
        runUntil([this] { return storedProgress().m_runs.empty(); });
        CPPUNIT_ASSERT(phase() == scheduling::JobPhase::Running);
        m_coordinator->setRules(rules());
        expectFailed();
    }

    auto takeover_earlierOwnerCountedLastAttemptWithoutRules_jobFails() -> void
    {
        storeFailures(maximumAttempts);
        m_executors.m_hasFailedRun = false;
        m_coordinator->start(rules());
        expectFailed();
    }

    auto takeover_rulesAreReadWhileLoading_jobFails() -> void
    {
        storeFailures(maximumAttempts);
        m_executors.m_hasFailedRun = false;
        m_memory.m_isDown = true;
        m_coordinator->start({});
        m_context->run_for(roundTime);
        m_coordinator->setRules(rules());
        m_memory.m_isDown = false;
        expectFailed();
    }

    // Guards against a job that fails by a limit that its predecessor knew to be replaced.
    auto takeover_rulesOlderThanPredecessors_jobGoesOnUntilNewerAreRead() -> void
    {
        storeRulesVersion(rules().m_version);
        m_coordinator->start(olderRules());
        runUntil([this] { return storedFailures() == newestRun; });
        m_context->run_for(settleTime);
        CPPUNIT_ASSERT(storedFailures() == newestRun);
        CPPUNIT_ASSERT(phase() == scheduling::JobPhase::Running);
        m_coordinator->setRules(rules());
        m_context->run_for(settleTime);
        CPPUNIT_ASSERT(phase() == scheduling::JobPhase::Running);
        CPPUNIT_ASSERT(m_executors.m_startedRuns == std::vector<std::uint32_t> { newestRun + 1 });
    }

    auto takeover_rulesOlderThanPredecessors_jobFailsOnceNewerAreRead() -> void
    {
        storeRulesVersion(rules().m_version);
        storeFailures(maximumAttempts);
        m_executors.m_hasFailedRun = false;
        m_coordinator->start(olderRules());
        m_context->run_for(settleTime);
        CPPUNIT_ASSERT(phase() == scheduling::JobPhase::Running);
        m_coordinator->setRules(rules());
        runUntil([this] { return storedProgress().m_phase == scheduling::JobPhase::Failed; });
        CPPUNIT_ASSERT(phase() == scheduling::JobPhase::Failed);
    }

    // Guards against a job that fails by a limit that was raised while the configuration could not be read.
    auto owner_rulesNotConfirmed_jobFailsOnceTheyAre() -> void
    {
        m_rulesAge = Duration(30000);
        m_coordinator->start(olderRules());
        runUntil([this] { return storedFailures() == newestRun; });
        m_context->run_for(settleTime);
        CPPUNIT_ASSERT(phase() == scheduling::JobPhase::Running);
        m_rulesAge = Duration { 0 };
        runUntil([this] { return storedProgress().m_phase == scheduling::JobPhase::Failed; });
        CPPUNIT_ASSERT(phase() == scheduling::JobPhase::Failed);
    }

    auto owner_rules_versionIsStored() -> void
    {
        m_coordinator->start(olderRules());
        runUntil([this] { return storedRulesVersion() == std::to_string(olderRules().m_version); });
        CPPUNIT_ASSERT_EQUAL(std::to_string(olderRules().m_version), storedRulesVersion());
        m_coordinator->setRules(rules());
        runUntil([this] { return storedRulesVersion() == std::to_string(rules().m_version); });
        CPPUNIT_ASSERT_EQUAL(std::to_string(rules().m_version), storedRulesVersion());
    }

    auto takeover_rulesOlderThanPredecessors_storedVersionIsKept() -> void
    {
        storeRulesVersion(rules().m_version);
        m_coordinator->start(olderRules());
        m_context->run_for(settleTime);
        CPPUNIT_ASSERT_EQUAL(std::to_string(rules().m_version), storedRulesVersion());
    }

private:
    static auto olderRules() -> scheduling::FleetRules
    {
        auto older = rules();
        older.m_version = rules().m_version - 1;
        older.m_queues.at("checks").m_maximumAttempts = newestRun;
        return older;
    }

    auto storeRulesVersion(std::int64_t version) -> void
    {
        m_memory.m_topics[progressTopic].push_back(encodeKeyedRecord(rulesVersionKey, std::to_string(version)));
    }

    // Empty once the job has ended, since its tasks are no longer stored then.
    auto storedFailures() -> std::optional<std::uint32_t>
    {
        const auto tasks = storedProgress().m_tasks;
        return tasks.empty() ? std::nullopt : std::optional(tasks[0].m_failures);
    }

    auto storedRulesVersion() -> std::string
    {
        std::string newest;
        for (const auto& bytes : m_memory.m_topics[progressTopic]) {
            const auto record = decodeKeyedRecord(bytes, 0);
            if (record && record->m_key == rulesVersionKey)
                newest = record->m_value;
        }
        return newest;
    }

    auto storeFailures(std::uint32_t failures) -> void
    {
        m_memory.m_topics[progressTopic].push_back(progress(failures));
    }

    auto expectFailed() -> void
    {
        runUntil([this] { return storedProgress().m_phase == scheduling::JobPhase::Failed; });
        CPPUNIT_ASSERT(phase() == scheduling::JobPhase::Failed);
        CPPUNIT_ASSERT(m_executors.m_startedRuns.empty());
    }

    template <typename Condition> auto runUntil(Condition condition) -> void
    {
        for (int round = 0; round < maximumRounds && !condition(); ++round)
            m_context->run_for(roundTime);
    }

    auto storedProgress() -> scheduling::JobProgress
    {
        scheduling::JobProgress newest;
        for (const auto& bytes : m_memory.m_topics[progressTopic]) {
            const auto record = decodeKeyedRecord(bytes, 0);
            if (record && record->m_key == progressPrefix + jobIdText(job))
                newest = decodeProgress(job, record->m_value).value();
        }
        return newest;
    }

    auto phase() -> scheduling::JobPhase
    {
        std::optional<JobStatusResult> status;
        auto isAnswered = false;
        asio::co_spawn(*m_context, m_coordinator->statusOf(job),
            [&](const std::exception_ptr&, std::optional<JobStatusResult> answer) {
                status = answer;
                isAnswered = true;
            });
        runUntil([&] { return isAnswered; });
        CPPUNIT_ASSERT(status && status->m_isKnown);
        return status->m_phase;
    }

    std::unique_ptr<asio::io_context> m_context;
    MemoryStore m_memory;
    ExecutorWithFailedRun m_executors;
    Metrics m_metrics;
    Duration m_rulesAge { 0 }; // Since the configuration was confirmed.
    std::shared_ptr<Coordinator> m_coordinator;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverWithoutRulesTest);

} // namespace hemlockvane::detail
