#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/SendActions.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/scheduling/PlanStarts.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "shell/coordinator/ScriptedExecutors.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace hemlockvane::detail {

/// An owner that sends a start while its newest renewal was sent some time ago. Its successor waits only for leases
/// that end within the longest lease after that.
class StartLeaseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StartLeaseTest);
    CPPUNIT_TEST(start_ownershipJustRenewed_hasWholeLease);
    CPPUNIT_TEST(start_ownershipRenewedAWhileAgo_leaseEndsWithinTheLongest);
    CPPUNIT_TEST(start_ownershipNotRenewedForLongestLease_isNotSent);
    CPPUNIT_TEST(start_notSent_isPlannedAgainOnceRenewed);
    CPPUNIT_TEST(start_executorUnresponsive_isNotSent);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_executors = {};
        m_now = monotonicNow();
        m_renewedAt = m_now;
        CoordinatorPorts ports;
        ports.m_executors = &m_executors;
        ports.m_metrics = &m_metrics;
        ports.m_renewedAt = [this] { return m_renewedAt; };
        m_longestLease = ports.m_longestLease;
        m_state = std::make_shared<CoordinatorState>(m_context, ports, 1);
        m_state->m_scheduler.m_rules.m_queues["checks"] = { "orders", 0, 4, 2.0, 600, false };
        addExecutor();
        scheduling::JobSpec spec;
        spec.m_id = 7;
        spec.m_queue = "checks";
        spec.m_steps.resize(1);
        scheduling::addJob(m_state->m_scheduler, std::move(spec), m_now, wallNow());
    }

    auto start_ownershipJustRenewed_hasWholeLease() -> void
    {
        planAndSend();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
        const auto lease = m_state->m_scheduler.m_timing.m_lease.count();
        CPPUNIT_ASSERT(deadline() >= executorClock(m_now) + lease);
    }

    auto start_ownershipRenewedAWhileAgo_leaseEndsWithinTheLongest() -> void
    {
        m_renewedAt = m_now - Duration(5000);
        planAndSend();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
        // Later by as much as a slow clock may be behind since it was read.
        CPPUNIT_ASSERT(deadline() <= executorClock(m_renewedAt + m_longestLease));
        CPPUNIT_ASSERT(deadline() >= executorClock(m_renewedAt + m_longestLease) - largestLag());
    }

    auto start_ownershipNotRenewedForLongestLease_isNotSent() -> void
    {
        m_renewedAt = m_now - Duration(10000);
        planAndSend();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_executors.m_starts.size());
        CPPUNIT_ASSERT(executor().m_runs.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, executor().m_leaseUntilMs);
    }

    auto start_notSent_isPlannedAgainOnceRenewed() -> void
    {
        m_renewedAt = m_now - Duration(10000);
        planAndSend();
        m_renewedAt = m_now;
        m_now += Duration(1000); // Longer than the pause after a refusal.
        planAndSend();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 2 }, m_executors.m_starts.front().second.m_run);
    }

    // Guards against a longer lease on an executor whose tasks are to be started elsewhere once its lease has expired.
    auto start_executorUnresponsive_isNotSent() -> void
    {
        auto actions = plan();
        executor().m_isUnresponsive = true;
        send(std::move(actions));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_executors.m_starts.size());
        CPPUNIT_ASSERT(executor().m_runs.empty());
    }

private:
    // The executor's clock shows 1 ms when the test begins.
    auto addExecutor() -> void
    {
        scheduling::ExecutorEntry entry;
        entry.m_id = "executor-1";
        entry.m_startedAtMs = 1;
        entry.m_service = "orders";
        entry.m_capacity = { 8000, 16000, 0 };
        m_begin = m_now;
        scheduling::registerExecutor(m_state->m_scheduler, entry, m_now, m_now);
        scheduling::ExecutorReport report;
        report.m_clockMs = 1;
        report.m_startedAtMs = 1;
        std::vector<scheduling::Action> actions;
        scheduling::applyReport(m_state->m_scheduler, 0, report, m_now, 0, actions);
    }

    auto executor() -> scheduling::Executor& { return *m_state->m_scheduler.m_executors[0]; }

    auto executorClock(Instant at) const -> std::int64_t { return 1 + (at - m_begin).count(); }

    // 2 % of the time since the clock was read, rounded up.
    auto largestLag() const -> std::int64_t { return (monotonicNow() - m_begin).count() / 50 + 1; }

    auto deadline() const -> std::int64_t { return m_executors.m_starts.front().second.m_deadlineMs; }

    auto plan() -> std::vector<scheduling::Action>
    {
        std::vector<scheduling::Action> actions;
        scheduling::planStarts(m_state->m_scheduler, m_now, 0, actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        return actions;
    }

    auto send(std::vector<scheduling::Action> actions) -> void
    {
        sendActions(m_state, std::move(actions));
        m_context.restart();
        m_context.poll();
    }

    auto planAndSend() -> void { send(plan()); }

    boost::asio::io_context m_context;
    ScriptedExecutors m_executors;
    Metrics m_metrics;
    Instant m_now;
    Instant m_begin;
    Instant m_renewedAt;
    Duration m_longestLease { 0 };
    std::shared_ptr<CoordinatorState> m_state;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartLeaseTest);

} // namespace hemlockvane::detail
