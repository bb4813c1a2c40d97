#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/Coordinator.h"
#include "hemlockvane/detail/coordinator/Journal.h"
#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/coordinator/Submissions.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/scheduling.pb.h"
#include "hemlockvane/scheduling/FleetRules.h"
#include "hemlockvane/scheduling/JobProgress.h"
#include "shell/coordinator/MemoryStore.h"
#include "shell/coordinator/ScriptedExecutors.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr scheduling::JobId job = 7;
const std::string executorTopic = "keyed.executors";
const std::string restarted = "executor-1"; // Starts again under its id.
const std::string other = "executor-2";
constexpr Duration roundTime { 10 };
constexpr int maximumRounds = 500;
constexpr int settleRounds = 60; // Longer than two reads of the registry.

// The registry's records of these tests contain only the start time.
auto executorEntry(std::string_view id, std::string_view startedAt) -> std::optional<scheduling::ExecutorEntry>
{
    scheduling::ExecutorEntry entry;
    entry.m_id = id;
    entry.m_startedAtMs = std::stoi(std::string(startedAt));
    entry.m_service = "orders";
    entry.m_capacity = { 8000, 16000, 0 };
    return entry;
}

auto rules() -> scheduling::FleetRules
{
    scheduling::FleetRules rules;
    rules.m_queues["checks"] = { "orders", 0, 4, 2.0, 600, false };
    return rules;
}

} // namespace

/// An executor that starts again under its id and answers a poll before the registry shows its new life.
class ExecutorLivesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ExecutorLivesTest);
    CPPUNIT_TEST(newLife_knownOnlyFromPoll_getsNoStartUntilListed);
    CPPUNIT_TEST(newLife_listedAfterItsAnswer_isInTheJournal);
    CPPUNIT_TEST(newLife_nextOwner_keepsItsRun);
    CPPUNIT_TEST(newLife_reportsRunBeforeItIsListed_isPolledOn);
    CPPUNIT_TEST(newLife_listedWhileIdle_isPolledAndUsed);
    CPPUNIT_TEST(newLife_listedAfterItsFirstStart_taskIsNotStartedElsewhere);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_context = std::make_unique<asio::io_context>();
        m_memory = {};
        m_executors = {};
        wire::SubmissionRecord record;
        record.set_queue("checks");
        m_memory.m_topics[submissionTopic]
            = { encodeKeyedRecord(submissionPrefix + jobIdText(job), record.SerializeAsString()) };
        list(restarted, "1");
        m_executors.m_lives[restarted].m_startedAtMs = 2;
    }

    auto tearDown() -> void override
    {
        m_coordinator->stop();
        m_context->stop();
        m_context.reset();
    }

    // Guards against a start that relies on the service, labels and capacity of the earlier life.
    auto newLife_knownOnlyFromPoll_getsNoStartUntilListed() -> void
    {
        own(1, {});
        runUntil([this] { return m_executors.m_lives[restarted].m_polls > 0; });
        settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_executors.m_starts.size());
        list(restarted, "2");
        runUntil([this] { return !m_executors.m_starts.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
    }

    auto newLife_listedAfterItsAnswer_isInTheJournal() -> void
    {
        startOnNewLife();
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, storedStartTime());
    }

    // Guards against a second run of a task: the next owner would restore the earlier life, take the registry's for a
    // new one and forget the runs there.
    auto newLife_nextOwner_keepsItsRun() -> void
    {
        startOnNewLife();
        m_coordinator->stop();
        m_executors.m_lives[restarted].m_isSilent = true;
        list(other, "1");
        own(2, monotonicNow() + Duration(60000));
        runUntil([this] { return m_executors.m_lives[other].m_polls > 0; });
        settle();
        CPPUNIT_ASSERT(m_executors.m_lives[other].m_polls > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
    }

    auto newLife_reportsRunBeforeItIsListed_isPolledOn() -> void
    {
        m_executors.m_lives[restarted].m_runs = { { { job, 0, 0, 0 }, 1, {}, 100, 0 } };
        list(other, "1");
        own(1, {});
        runUntil([this] { return m_executors.m_lives[restarted].m_polls > 2; });
        CPPUNIT_ASSERT(m_executors.m_lives[restarted].m_polls > 2);
    }

    // Guards against a new life that takes no task until the polling of the earlier one, which was idle, wakes by
    // itself.
    auto newLife_listedWhileIdle_isPolledAndUsed() -> void
    {
        m_executors.m_lives[restarted].m_startedAtMs = 1;
        const auto submissions = std::exchange(m_memory.m_topics[submissionTopic], {});
        own(1, {});
        runUntil([this] { return m_executors.m_lives[restarted].m_polls > 0; });
        settle();
        m_executors.m_lives[restarted].m_startedAtMs = 2;
        list(restarted, "2");
        settle();
        m_memory.m_topics[submissionTopic] = submissions;
        runUntil([this] { return !m_executors.m_starts.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
    }

    // Guards against a second run of a task: an idle executor is not polled, so its new life is known only later.
    auto newLife_listedAfterItsFirstStart_taskIsNotStartedElsewhere() -> void
    {
        auto& life = m_executors.m_lives[restarted];
        life.m_startedAtMs = 1;
        life.m_waitsForEnds = true;
        list(other, "1");
        const auto submissions = std::exchange(m_memory.m_topics[submissionTopic], {});
        own(1, {});
        settle();
        life.m_startedAtMs = 2;
        m_memory.m_topics[submissionTopic] = submissions;
        runUntil([this] { return !m_executors.m_starts.empty(); });
        CPPUNIT_ASSERT_EQUAL(restarted, m_executors.m_starts.at(0).first);
        list(restarted, "2");
        settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
    }

private:
    // Appends to the registry.
    auto list(const std::string& id, const std::string& startedAt) -> void
    {
        m_memory.m_topics[executorTopic].push_back(encodeKeyedRecord(id, startedAt));
    }

    auto own(std::uint64_t epoch, Instant earlierLeasesExpireBy) -> void
    {
        CoordinatorPorts ports;
        ports.m_store = &m_memory;
        ports.m_executors = &m_executors;
        ports.m_metrics = &m_metrics;
        ports.m_renewedAt = [] { return monotonicNow(); };
        ports.m_executorTopic = executorTopic;
        ports.m_earlierLeasesExpireBy = earlierLeasesExpireBy;
        ports.m_decoders.m_job = [](std::string_view) {
            scheduling::JobSpec spec;
            spec.m_steps.resize(1);
            return std::optional(spec);
        };
        ports.m_decoders.m_executor = executorEntry;
        m_coordinator = std::make_shared<Coordinator>(*m_context, ports, epoch);
        m_coordinator->start(rules());
    }

    // Has the job's task run on the new life, which is listed after its first answer.
    auto startOnNewLife() -> void
    {
        own(1, {});
        runUntil([this] { return m_executors.m_lives[restarted].m_polls > 0; });
        list(restarted, "2");
        runUntil([this] { return !m_executors.m_starts.empty(); });
        settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
    }

    auto storedStartTime() -> std::int64_t
    {
        std::int64_t newest = 0;
        for (const auto& bytes : m_memory.m_topics[progressTopic]) {
            const auto record = decodeKeyedRecord(bytes, 0);
            if (record && record->m_key == executorPrefix + restarted)
                newest = record->m_value.empty() ? 0 : decodeExecutor(record->m_value).value().m_startedAtMs;
        }
        return newest;
    }

    template <typename Condition> auto runUntil(Condition condition) -> void
    {
        for (int round = 0; round < maximumRounds && !condition(); ++round)
            m_context->run_for(roundTime);
    }

    auto settle() -> void
    {
        for (int round = 0; round < settleRounds; ++round)
            m_context->run_for(roundTime);
    }

    std::unique_ptr<asio::io_context> m_context;
    MemoryStore m_memory;
    ScriptedExecutors m_executors;
    Metrics m_metrics;
    std::shared_ptr<Coordinator> m_coordinator;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExecutorLivesTest);

} // namespace hemlockvane::detail
