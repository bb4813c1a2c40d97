#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/SendActions.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/scheduling/Evacuate.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"
#include "shell/coordinator/ScriptedExecutors.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hemlockvane::detail {

/// A stop that empties an executor and needs a new connection: `HttpPool` asks before and after it connects whether the
/// request may be sent.
class StopWhileConnectingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StopWhileConnectingTest);
    CPPUNIT_TEST(stop_nothingChangedWhileConnecting_isWritten);
    CPPUNIT_TEST(stop_otherTaskFailedWhileConnecting_isNotWritten);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_executors = {};
        CoordinatorPorts ports;
        ports.m_executors = &m_executors;
        ports.m_metrics = &m_metrics;
        m_state = std::make_shared<CoordinatorState>(m_context, ports, 1);
        scheduling::JobSpec spec;
        spec.m_id = 7;
        spec.m_steps.resize(1);
        spec.m_steps[0].m_taskCount = 2;
        spec.m_steps[0].m_isLongRunning = true;
        spec.m_steps[0].m_maxUnavailable = 1;
        scheduling::addJob(m_state->m_scheduler, std::move(spec), monotonicNow(), wallNow());
        for (std::uint32_t index = 0; index < 2; ++index) {
            scheduling::ExecutorEntry entry;
            entry.m_id = "executor-" + std::to_string(index);
            entry.m_startedAtMs = 1;
            const auto executor
                = scheduling::registerExecutor(m_state->m_scheduler, entry, monotonicNow(), monotonicNow());
            scheduling::ExecutorReport report;
            report.m_startedAtMs = 1;
            report.m_runs = { { { 7, 0, 0, index }, 1, {}, 100, 0 } };
            std::vector<scheduling::Action> actions;
            scheduling::applyReport(m_state->m_scheduler, executor, report, monotonicNow(), wallNow(), actions);
            m_state->m_pollSignals.emplace(entry.m_id, std::make_unique<Signal>(m_context));
        }
    }

    auto stop_nothingChangedWhileConnecting_isWritten() -> void
    {
        sendStop();
        CPPUNIT_ASSERT_EQUAL(1, m_executors.m_stops);
    }

    auto stop_otherTaskFailedWhileConnecting_isNotWritten() -> void
    {
        m_executors.m_whileConnecting = [this] { scheduling::removeRun(m_state->m_scheduler, { 7, 0, 0, 1 }, 1, 1); };
        sendStop();
        CPPUNIT_ASSERT_EQUAL(0, m_executors.m_stops);
    }

private:
    class ConnectingExecutors : public ScriptedExecutors {
    public:
        auto stop(std::string, std::string, scheduling::TaskKey, std::uint32_t, std::uint64_t,
            std::function<bool()> mayBeSent) -> boost::asio::awaitable<CallOutcome> override
        {
            const auto isWanted = mayBeSent();
            if (m_whileConnecting)
                m_whileConnecting();
            if (!isWanted || !mayBeSent())
                co_return CallOutcome::NotSent;
            ++m_stops;
            co_return CallOutcome::Answered;
        }

        std::function<void()> m_whileConnecting;
        int m_stops = 0; // Written.
    };

    auto sendStop() -> void
    {
        // There was no earlier owner that may have had the other run stopped.
        scheduling::findRun(m_state->m_scheduler, { 7, 0, 0, 1 }, 1, 1)->m_mayBeStopping = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, scheduling::evacuate(m_state->m_scheduler, 0));
        std::vector<scheduling::Action> actions;
        scheduling::planStops(m_state->m_scheduler, monotonicNow(), actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        sendActions(m_state, std::move(actions));
        m_context.restart();
        m_context.run_for(Duration { 20 });
    }

    boost::asio::io_context m_context;
    ConnectingExecutors m_executors;
    Metrics m_metrics;
    std::shared_ptr<CoordinatorState> m_state;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopWhileConnectingTest);

} // namespace hemlockvane::detail
