#include "hemlockvane/detail/logging/Log.h"
#include "shell/coordinator/OwnerFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <spdlog/sinks/ostream_sink.h>

#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace hemlockvane::detail {

namespace {

const std::string restarted = "executor-1"; // Starts again under its id.
const std::string other = "executor-2";

} // namespace

/// The lines and counters that tell why a run was forgotten, and that an unknown run was reported.
class DroppedRunLinesTest : public OwnerFixture {
    CPPUNIT_TEST_SUITE(DroppedRunLinesTest);
    CPPUNIT_TEST(newLife_withoutTheRun_dropIsAWarningWithTaskAndReason);
    CPPUNIT_TEST(report_unknownRun_isAWarningWithTheOtherRun);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        OwnerFixture::setUp();
        m_lines.str("");
        m_sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(m_lines);
        m_sink->set_pattern("%l %v");
        logOf("jobs").sinks().push_back(m_sink);
        list(restarted, "1");
    }

    auto tearDown() -> void override
    {
        OwnerFixture::tearDown();
        std::erase(logOf("jobs").sinks(), m_sink);
    }

    auto newLife_withoutTheRun_dropIsAWarningWithTaskAndReason() -> void
    {
        startOn(restarted);
        auto& life = m_executors.m_lives[restarted];
        life.m_runs.clear();
        life.m_startedAtMs = 2;
        runUntil([this] { return hasLine("event=run_dropped"); });
        CPPUNIT_ASSERT(hasLine("warning event=run_dropped task=" + taskText(task) + " run=1 executor=" + restarted
            + " reason=new_life age_ms="));
        CPPUNIT_ASSERT(hasLine(" born=1\n"));
        CPPUNIT_ASSERT(hasMetric("runs_dropped_total{reason=\"new_life\"} 1"));
        CPPUNIT_ASSERT(!hasLine("event=run_found"));
        CPPUNIT_ASSERT(hasMetric("new_lives_total 1"));
    }

    auto report_unknownRun_isAWarningWithTheOtherRun() -> void
    {
        startOn(restarted);
        list(other, "1");
        m_executors.m_lives[other].m_runs = { { task, 2, {}, 100, 0 } };
        runUntil([this] { return hasLine("event=run_found"); });
        CPPUNIT_ASSERT(hasLine("warning event=run_found task=" + taskText(task) + " run=2 executor=" + other
            + " born=1 ended=false stopped=true other_run=1 other_executor=" + restarted + "\n"));
        CPPUNIT_ASSERT(hasMetric("runs_found_total 1"));
    }

private:
    static constexpr scheduling::TaskKey task { job, 0, 0, 0 };

    auto startOn(const std::string& id) -> void
    {
        own(1, {});
        runUntil([this] { return !m_executors.m_starts.empty(); });
        CPPUNIT_ASSERT_EQUAL(id, m_executors.m_starts.at(0).first);
        const auto polls = m_executors.m_lives[id].m_polls;
        runUntil([&] { return m_executors.m_lives[id].m_polls > polls + 1; });
    }

    auto hasLine(const std::string& text) -> bool { return m_lines.str().find(text) != std::string::npos; }
    auto hasMetric(const std::string& text) -> bool { return m_metrics.render().find(text) != std::string::npos; }

    std::ostringstream m_lines;
    std::shared_ptr<spdlog::sinks::ostream_sink_mt> m_sink;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DroppedRunLinesTest);

} // namespace hemlockvane::detail
