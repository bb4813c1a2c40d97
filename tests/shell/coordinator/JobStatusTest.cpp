#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/Coordinator.h"
#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/coordinator/Submissions.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/scheduling.pb.h"
#include "hemlockvane/scheduling/FleetRules.h"
#include "shell/coordinator/MemoryStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <exception>
#include <memory>
#include <optional>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr scheduling::JobId unsubmittedJob = 1000000;
constexpr scheduling::JobId fewJobs = 20;
constexpr scheduling::JobId manyJobs = 20000; // More than are read one by one while a caller waits.
constexpr Duration roundTime { 5 };
constexpr int maximumRounds = 1000;

auto submission(scheduling::JobId id) -> std::string
{
    wire::SubmissionRecord record;
    record.set_queue("checks");
    return encodeKeyedRecord(submissionPrefix + jobIdText(id), record.SerializeAsString());
}

} // namespace

// Queries for jobs whose submissions the owner has not read yet; a read returns one of them.
class JobStatusTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobStatusTest);
    CPPUNIT_TEST(status_submissionSeveralReadsAhead_isKnown);
    CPPUNIT_TEST(status_endNotReadInTime_isUnavailable);
    CPPUNIT_TEST(status_notSubmitted_isUnknown);
    CPPUNIT_TEST(status_storeUnavailable_isUnavailable);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_context = std::make_unique<asio::io_context>();
        m_memory = {};
        CoordinatorPorts ports;
        ports.m_store = &m_memory;
        ports.m_metrics = &m_metrics;
        ports.m_renewedAt = [] { return monotonicNow(); };
        ports.m_executorTopic = "keyed.executors";
        ports.m_decoders.m_job = [](std::string_view) {
            scheduling::JobSpec spec;
            spec.m_steps.resize(1);
            return std::optional(spec);
        };
        m_coordinator = std::make_shared<Coordinator>(*m_context, ports, 1);
        m_coordinator->start({});
        runUntil([this] { return m_coordinator->countWaitingJobs("checks").has_value(); });
        m_memory.m_maximumRead = 1;
    }

    auto tearDown() -> void override
    {
        m_coordinator->stop();
        m_context->stop();
        m_context.reset();
    }

    // Guards against "no such job" for a job that was accepted.
    auto status_submissionSeveralReadsAhead_isKnown() -> void
    {
        submit(fewJobs);
        const auto status = ask(fewJobs);
        CPPUNIT_ASSERT(status);
        CPPUNIT_ASSERT(status->m_isKnown);
    }

    auto status_endNotReadInTime_isUnavailable() -> void
    {
        submit(manyJobs);
        CPPUNIT_ASSERT(!ask(manyJobs));
    }

    auto status_notSubmitted_isUnknown() -> void
    {
        submit(fewJobs);
        const auto status = ask(unsubmittedJob);
        CPPUNIT_ASSERT(status);
        CPPUNIT_ASSERT(!status->m_isKnown);
    }

    auto status_storeUnavailable_isUnavailable() -> void
    {
        submit(fewJobs);
        m_memory.m_isDown = true;
        CPPUNIT_ASSERT(!ask(unsubmittedJob));
    }

private:
    // Submits the jobs from 1 to `count`.
    auto submit(scheduling::JobId count) -> void
    {
        for (scheduling::JobId id = 1; id <= count; ++id)
            m_memory.m_topics[submissionTopic].push_back(submission(id));
    }

    auto ask(scheduling::JobId id) -> std::optional<JobStatusResult>
    {
        std::optional<JobStatusResult> status;
        auto isAnswered = false;
        asio::co_spawn(*m_context, m_coordinator->statusOf(id),
            [&](const std::exception_ptr&, std::optional<JobStatusResult> answer) {
                status = answer;
                isAnswered = true;
            });
        runUntil([&] { return isAnswered; });
        CPPUNIT_ASSERT(isAnswered);
        return status;
    }

    template <typename Condition> auto runUntil(Condition condition) -> void
    {
        for (int round = 0; round < maximumRounds && !condition(); ++round)
            m_context->run_for(roundTime);
    }

    std::unique_ptr<asio::io_context> m_context;
    MemoryStore m_memory;
    Metrics m_metrics;
    std::shared_ptr<Coordinator> m_coordinator;
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobStatusTest);

} // namespace hemlockvane::detail
