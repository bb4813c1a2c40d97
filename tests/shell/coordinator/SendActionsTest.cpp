#include "hemlockvane/detail/coordinator/SendActions.h"

#include "HttpExecutors.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/http/HttpPool.h"
#include "hemlockvane/detail/http/HttpServer.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/scheduling/PlanStarts.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

const std::string startTarget = "/hemlockvane/run-start";
const std::string stopTarget = "/hemlockvane/run-stop";
const std::string holdTarget = "/hold"; // A request that keeps the connection until it is released.
constexpr scheduling::TaskKey task { 7, 0, 0, 0 };
constexpr scheduling::JobId unknownJob = 8;
constexpr unsigned statusOk = 200;
constexpr unsigned statusOtherIncarnation = 421;
constexpr Duration roundTime { 5 };
constexpr int maximumRounds = 600;
constexpr Duration settleTime { 60 }; // For a request that would be written without the check.
constexpr Duration longWait { 1200 }; // Longer than a start may wait in the sender.

} // namespace

/// Orders that wait for the only connection to their executor while the state changes.
class SendActionsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SendActionsTest);
    CPPUNIT_TEST(start_nothingChanged_isWritten);
    CPPUNIT_TEST(start_taskEndedMeanwhile_isNotWritten);
    CPPUNIT_TEST(start_earlierRunReportedMeanwhile_isNotWritten);
    CPPUNIT_TEST(start_jobCancelledMeanwhile_isNotWritten);
    CPPUNIT_TEST(start_ownershipLostMeanwhile_isNotWritten);
    CPPUNIT_TEST(start_ownershipNotRenewed_isNotWritten);
    CPPUNIT_TEST(start_executorRestartedMeanwhile_isNotWritten);
    CPPUNIT_TEST(start_executorDrainingMeanwhile_isNotWritten);
    CPPUNIT_TEST(start_machineOrderAcceptedMeanwhile_isNotWritten);
    CPPUNIT_TEST(start_waitedTooLong_isNotWrittenAndPlannedAgain);
    CPPUNIT_TEST(start_writtenWithoutAnswerThenTaskEnded_isStopped);
    CPPUNIT_TEST(start_otherIncarnationAnsweredForEarlierLife_newerLifeIsKept);
    CPPUNIT_TEST(stop_runListedAsEndedMeanwhile_isNotWritten);
    CPPUNIT_TEST(stop_executorRestartedMeanwhile_isNotWritten);
    CPPUNIT_TEST(stop_ownershipLostMeanwhile_isNotWritten);
    CPPUNIT_TEST(stop_stillWanted_isWritten);
    CPPUNIT_TEST(stop_ofUnknownRun_isWritten);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_context = std::make_unique<asio::io_context>();
        m_received.clear();
        m_isReleased = false;
        m_isHolding = false;
        m_holdsStarts = false;
        m_startStatus = statusOk;
        m_renewedAt = monotonicNow();
        HttpHandler handler = [this](HttpRequest request) { return answer(std::move(request)); };
        m_server = std::make_unique<HttpServer>(*m_context, HttpLimits {}, std::move(handler));
        FailureReason reason;
        const auto port = m_server->listen("127.0.0.1:0", reason);
        CPPUNIT_ASSERT(port);
        m_address = "127.0.0.1:" + std::to_string(*port);
        m_pool = std::make_unique<HttpPool>(*m_context, HttpPoolLimits { .m_perServer = 1 });
        m_executors = std::make_unique<platform::HttpExecutors>(*m_pool, *m_pool);
        CoordinatorPorts ports;
        ports.m_executors = m_executors.get();
        ports.m_metrics = &m_metrics;
        ports.m_renewedAt = [this] { return m_renewedAt; };
        m_state = std::make_shared<CoordinatorState>(*m_context, ports, 1);
        auto& scheduler = m_state->m_scheduler;
        scheduler.m_rules.m_queues["checks"] = { "orders", 0, 3, 2.0, 600, false };
        m_earlier = addExecutor("earlier");
        submit();
        // An earlier run, whose lease has expired.
        scheduling::findTask(scheduler, task)->m_highestRun = 1;
        scheduler.m_executors[m_earlier]->m_isUnresponsive = true;
        m_target = addExecutor("target");
    }

    auto tearDown() -> void override
    {
        m_state->m_isStopped = true;
        release();
        m_state.reset();
        m_executors.reset();
        m_pool.reset();
        m_server.reset();
        m_context.reset();
    }

    auto start_nothingChanged_isWritten() -> void
    {
        sendWhileHeld();
        release();
        runUntil([this] { return countReceived(startTarget) == 1; });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 1 }, countReceived(startTarget));
    }

    auto start_taskEndedMeanwhile_isNotWritten() -> void
    {
        sendWhileHeld();
        scheduling::ExecutorReport report = reportOf(m_earlier);
        report.m_endedRuns.push_back({ 1, task, 1, scheduling::RunOutcome::Done, {} });
        apply(m_earlier, report);
        release();
        assertDropped();
        CPPUNIT_ASSERT(phase() == scheduling::JobPhase::Completed);
    }

    auto start_earlierRunReportedMeanwhile_isNotWritten() -> void
    {
        sendWhileHeld();
        auto report = reportOf(m_earlier);
        report.m_runs.push_back({ task, 1, {}, 0, 0 });
        apply(m_earlier, report);
        release();
        assertDropped();
    }

    auto start_jobCancelledMeanwhile_isNotWritten() -> void
    {
        sendWhileHeld();
        scheduling::cancelJob(m_state->m_scheduler, task.m_job, wallNow());
        release();
        assertDropped();
    }

    auto start_ownershipLostMeanwhile_isNotWritten() -> void
    {
        sendWhileHeld();
        m_state->m_isStopped = true;
        release();
        runFor(settleTime);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 0 }, countReceived(startTarget));
    }

    auto start_ownershipNotRenewed_isNotWritten() -> void
    {
        sendWhileHeld();
        m_renewedAt -= m_state->m_ports.m_longestLease;
        release();
        assertDropped();
    }

    auto start_executorRestartedMeanwhile_isNotWritten() -> void
    {
        sendWhileHeld();
        auto entry = m_state->m_scheduler.m_executors[m_target]->m_entry;
        ++entry.m_startedAtMs;
        scheduling::registerExecutor(m_state->m_scheduler, entry, monotonicNow(), monotonicNow());
        release();
        assertDropped();
    }

    auto start_executorDrainingMeanwhile_isNotWritten() -> void
    {
        sendWhileHeld();
        m_state->m_scheduler.m_executors[m_target]->m_entry.m_isDraining = true;
        release();
        assertDropped();
    }

    auto start_machineOrderAcceptedMeanwhile_isNotWritten() -> void
    {
        sendWhileHeld();
        m_state->m_scheduler.m_executors[m_target]->m_isLeaving = true;
        release();
        assertDropped();
    }

    auto start_waitedTooLong_isNotWrittenAndPlannedAgain() -> void
    {
        sendWhileHeld();
        runFor(longWait);
        release();
        assertDropped();
        const auto later = monotonicNow() + Duration { 1000 };
        std::vector<scheduling::Action> actions;
        scheduling::planStarts(m_state->m_scheduler, later, wallNow(), actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
    }

    auto start_writtenWithoutAnswerThenTaskEnded_isStopped() -> void
    {
        m_holdsStarts = true;
        send();
        runUntil([this] { return countReceived(startTarget) == 1; });
        auto report = reportOf(m_earlier);
        report.m_endedRuns.push_back({ 1, task, 1, scheduling::RunOutcome::Done, {} });
        apply(m_earlier, report);
        runFor(Duration { 500 }); // The start is given up after 300 ms.
        const auto* run = scheduling::findRun(m_state->m_scheduler, task, 2, m_target);
        CPPUNIT_ASSERT(run != nullptr);
        CPPUNIT_ASSERT(run->m_phase == scheduling::RunPhase::Stopping);
    }

    auto start_otherIncarnationAnsweredForEarlierLife_newerLifeIsKept() -> void
    {
        m_holdsStarts = true;
        m_startStatus = statusOtherIncarnation;
        send();
        runUntil([this] { return countReceived(startTarget) == 1; });
        auto& executor = *m_state->m_scheduler.m_executors[m_target];
        auto entry = executor.m_entry;
        ++entry.m_startedAtMs;
        scheduling::registerExecutor(m_state->m_scheduler, entry, monotonicNow(), monotonicNow());
        release();
        CPPUNIT_ASSERT(executor.m_isRegistered);
        CPPUNIT_ASSERT(!executor.m_isTerminated);
    }

    auto stop_runListedAsEndedMeanwhile_isNotWritten() -> void
    {
        stopWhileHeld();
        auto report = reportOf(m_target);
        report.m_endedRuns.push_back({ 1, task, 2, scheduling::RunOutcome::Done, {} });
        apply(m_target, report);
        release();
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 0 }, countReceived(stopTarget));
    }

    auto stop_executorRestartedMeanwhile_isNotWritten() -> void
    {
        stopWhileHeld();
        auto entry = m_state->m_scheduler.m_executors[m_target]->m_entry;
        ++entry.m_startedAtMs;
        scheduling::registerExecutor(m_state->m_scheduler, entry, monotonicNow(), monotonicNow());
        release();
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 0 }, countReceived(stopTarget));
    }

    auto stop_ownershipLostMeanwhile_isNotWritten() -> void
    {
        stopWhileHeld();
        m_state->m_isStopped = true;
        release();
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 0 }, countReceived(stopTarget));
    }

    auto stop_stillWanted_isWritten() -> void
    {
        stopWhileHeld();
        release();
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 1 }, countReceived(stopTarget));
        const auto* run = scheduling::findRun(m_state->m_scheduler, task, 2, m_target);
        CPPUNIT_ASSERT(run != nullptr && run->m_stopAnsweredAt);
    }

    auto stop_ofUnknownRun_isWritten() -> void
    {
        hold();
        auto report = reportOf(m_target);
        report.m_runs.push_back({ { unknownJob, 0, 0, 0 }, 1, {}, 0, 0 });
        std::vector<scheduling::Action> actions;
        scheduling::applyReport(m_state->m_scheduler, m_target, report, monotonicNow(), wallNow(), actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        sendActions(m_state, std::move(actions));
        runFor(settleTime);
        release();
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 1 }, countReceived(stopTarget));
    }

private:
    auto answer(HttpRequest request) -> asio::awaitable<HttpResponse>
    {
        m_received.push_back(request.m_target);
        const auto isStart = request.m_target == startTarget;
        m_isHolding = request.m_target == holdTarget || (isStart && m_holdsStarts);
        while (m_isHolding && !m_isReleased)
            co_await sleepFor(roundTime);
        HttpResponse response;
        response.m_status = isStart ? m_startStatus : statusOk;
        response.m_body = R"({"clockMs":1})";
        co_return response;
    }

    auto addExecutor(const std::string& id) -> scheduling::ExecutorIndex
    {
        scheduling::ExecutorEntry entry;
        entry.m_id = id;
        entry.m_startedAtMs = 1;
        entry.m_service = "orders";
        entry.m_address = m_address;
        entry.m_capacity = { 8000, 16000, 0 };
        const auto index = scheduling::registerExecutor(m_state->m_scheduler, entry, monotonicNow(), monotonicNow());
        apply(index, reportOf(index));
        return index;
    }

    auto submit() -> void
    {
        scheduling::JobSpec spec;
        spec.m_id = task.m_job;
        spec.m_queue = "checks";
        spec.m_steps.resize(1);
        spec.m_steps[0].m_taskCount = 1;
        spec.m_steps[0].m_perTask = { 1000, 100, 0 };
        spec.m_steps[0].m_estimateMs = 500;
        spec.m_submittedAt = wallNow();
        scheduling::addJob(m_state->m_scheduler, std::move(spec), monotonicNow(), wallNow());
    }

    auto reportOf(scheduling::ExecutorIndex index) -> scheduling::ExecutorReport
    {
        scheduling::ExecutorReport report;
        report.m_pollSentAt = monotonicNow();
        report.m_clockMs = monotonicNow().time_since_epoch().count();
        report.m_startedAtMs = m_state->m_scheduler.m_executors[index]->m_entry.m_startedAtMs;
        return report;
    }

    auto apply(scheduling::ExecutorIndex index, const scheduling::ExecutorReport& report) -> void
    {
        std::vector<scheduling::Action> actions;
        scheduling::applyReport(m_state->m_scheduler, index, report, monotonicNow(), wallNow(), actions);
    }

    auto send() -> void
    {
        std::vector<scheduling::Action> actions;
        scheduling::planStarts(m_state->m_scheduler, monotonicNow(), wallNow(), actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT_EQUAL(m_target, actions[0].m_executor);
        CPPUNIT_ASSERT_EQUAL(2U, actions[0].m_run);
        sendActions(m_state, std::move(actions));
    }

    // Sends a start while another request has the only connection.
    auto sendWhileHeld() -> void
    {
        hold();
        send();
        runFor(settleTime);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 0 }, countReceived(startTarget));
    }

    // Sends the stop of a running task while another request has the only connection.
    auto stopWhileHeld() -> void
    {
        send();
        runUntil([this] { return countReceived(startTarget) == 1; });
        runFor(settleTime);
        hold();
        scheduling::cancelJob(m_state->m_scheduler, task.m_job, wallNow());
        std::vector<scheduling::Action> actions;
        scheduling::planStops(m_state->m_scheduler, monotonicNow(), actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        sendActions(m_state, std::move(actions));
        runFor(settleTime);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 0 }, countReceived(stopTarget));
    }

    auto hold() -> void
    {
        asio::co_spawn(*m_context, holdConnection(), [](const std::exception_ptr&) {});
        runUntil([this] { return m_isHolding; });
    }

    auto holdConnection() -> asio::awaitable<void>
    {
        HttpRequest request;
        request.m_target = holdTarget;
        FailureReason reason;
        auto address = m_address;
        const auto response = co_await m_pool->call(std::move(address), std::move(request), Duration { 10000 }, reason);
        CPPUNIT_ASSERT(response);
    }

    auto release() -> void
    {
        m_isReleased = true;
        runFor(settleTime);
    }

    // The start has left no trace: neither at the executor nor as a run that would have to be stopped.
    auto assertDropped() -> void
    {
        runFor(settleTime);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 0 }, countReceived(startTarget));
        CPPUNIT_ASSERT(scheduling::findRun(m_state->m_scheduler, task, 2, m_target) == nullptr);
    }

    auto phase() -> scheduling::JobPhase { return scheduling::findJob(m_state->m_scheduler, task.m_job)->m_phase; }

    [[nodiscard]] auto countReceived(const std::string& target) const -> std::ptrdiff_t
    {
        return std::count(m_received.begin(), m_received.end(), target);
    }

    template <typename Condition> auto runUntil(Condition condition) -> void
    {
        m_context->restart();
        for (int round = 0; round < maximumRounds && !condition(); ++round)
            m_context->run_for(roundTime);
        CPPUNIT_ASSERT(condition());
    }

    auto runFor(Duration time) -> void
    {
        m_context->restart();
        m_context->run_for(time);
    }

    std::unique_ptr<asio::io_context> m_context;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<HttpPool> m_pool;
    std::unique_ptr<platform::HttpExecutors> m_executors;
    Metrics m_metrics;
    std::shared_ptr<CoordinatorState> m_state;
    std::string m_address;
    std::vector<std::string> m_received; // Targets of the requests at the executors.
    scheduling::ExecutorIndex m_earlier = 0;
    scheduling::ExecutorIndex m_target = 0;
    Instant m_renewedAt;
    bool m_isHolding = false;
    bool m_isReleased = false;
    bool m_holdsStarts = false;
    unsigned m_startStatus = statusOk;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SendActionsTest);

} // namespace hemlockvane::detail
