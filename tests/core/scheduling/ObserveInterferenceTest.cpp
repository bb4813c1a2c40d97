#include "hemlockvane/scheduling/ObserveInterference.h"

#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace hemlockvane::scheduling {

/// Four executors of 8 cores. Tasks of the image "web" serve users; those of "batch" slow them down.
class ObserveInterferenceTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(ObserveInterferenceTest);
    CPPUNIT_TEST(samples_tasksBesideEachOther_nameThePair);
    CPPUNIT_TEST(samples_noNewReport_areNotRepeated);
    CPPUNIT_TEST(samples_slowedFiller_isNotBeside);
    CPPUNIT_TEST(placement_pairKnown_avoidsItsExecutor);
    CPPUNIT_TEST(placement_pairKnownEverywhere_startsNevertheless);
    CPPUNIT_TEST(placement_switchedOff_ignoresThePair);
    CPPUNIT_TEST(placement_shortTask_avoidsItsExecutor);
    CPPUNIT_TEST(placement_failedElsewhere_outweighsThePair);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        SchedulerFixture::setUp();
        addExecutor("e2");
        addExecutor("e3");
        m_nextJob = 200;
    }

    auto samples_tasksBesideEachOther_nameThePair() -> void
    {
        const auto web = startOn(serving("web"));
        startOn(serving("batch"), web.m_executor);
        measure(web, 90);
        const auto& state = m_scheduler.m_interference;
        CPPUNIT_ASSERT_EQUAL(1.0, state.m_beside.at({ "web", "batch" }).m_weight);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, state.m_beside.at({ "web", "batch" }).m_sum, 0.001);
    }

    // Guards against one report that is counted as evidence many times.
    auto samples_noNewReport_areNotRepeated() -> void
    {
        const auto web = startOn(serving("web"));
        measure(web, 90);
        m_now += Duration(2000);
        observeLatencies(m_scheduler, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, m_scheduler.m_interference.m_all.at("web").m_weight, 0.001);
    }

    auto samples_slowedFiller_isNotBeside() -> void
    {
        const auto web = startOn(serving("web"));
        auto filler = serving("fill");
        filler.m_targetMs = 0;
        filler.m_isFiller = true;
        const auto filling = startOn(filler, web.m_executor);
        findRun(m_scheduler, filling.m_task, filling.m_run, filling.m_executor)->m_pace = 0;
        measure(web, 90);
        CPPUNIT_ASSERT(!m_scheduler.m_interference.m_beside.contains({ "web", "fill" }));
    }

    auto placement_pairKnown_avoidsItsExecutor() -> void
    {
        const auto batch = startOn(serving("batch"));
        know("web", "batch");
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(startOn(serving("web")).m_executor != batch.m_executor);
    }

    // Guards against a task that waits although there is room.
    auto placement_pairKnownEverywhere_startsNevertheless() -> void
    {
        for (ExecutorIndex index = 0; index < 4; ++index)
            startOn(serving("batch"), index);
        know("web", "batch");
        startOn(serving("web"));
    }

    auto placement_switchedOff_ignoresThePair() -> void
    {
        startOn(serving("batch"), 0);
        know("web", "batch");
        CPPUNIT_ASSERT(expectedHarm(m_scheduler, serving("web"), 0) > 0);
        m_scheduler.m_separatesInterference = false;
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, expectedHarm(m_scheduler, serving("web"), 0));
    }

    auto placement_shortTask_avoidsItsExecutor() -> void
    {
        startOn(serving("batch"), 0);
        know("web", "batch");
        auto quick = step(1, 1000);
        quick.m_image = "other";
        CPPUNIT_ASSERT_EQUAL(ExecutorIndex { 0 }, startOn(quick).m_executor);
        quick.m_image = "web";
        CPPUNIT_ASSERT(startOn(quick).m_executor != 0);
    }

    auto placement_failedElsewhere_outweighsThePair() -> void
    {
        startOn(serving("batch"), 0);
        know("web", "batch");
        auto quick = step(1, 1000);
        quick.m_image = "web";
        const auto id = add(quick);
        findTask(m_scheduler, { id, 0, 0, 0 })->m_failedOn = { 1, 2, 3 };
        CPPUNIT_ASSERT_EQUAL(ExecutorIndex { 0 }, starts().at(0).m_executor);
    }

private:
    static auto serving(const std::string& image) -> StepSpec
    {
        auto made = step(1, 1000);
        made.m_isLongRunning = true;
        made.m_targetMs = 100;
        made.m_image = image;
        return made;
    }

    auto add(const StepSpec& step) -> JobId
    {
        JobSpec spec;
        spec.m_id = m_nextJob++;
        spec.m_queue = "checks";
        spec.m_workspace = "team";
        spec.m_steps = { step };
        spec.m_submittedAt = m_wall;
        addJob(m_scheduler, spec, m_now, m_wall);
        return spec.m_id;
    }

    // Starts one task, on the given executor if there is one.
    auto startOn(const StepSpec& step, std::optional<ExecutorIndex> only = {}) -> Action
    {
        for (ExecutorIndex index = 0; index < 4; ++index)
            m_scheduler.m_executors[index]->m_isReserved = only && *only != index;
        add(step);
        const auto planned = starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, planned.size());
        answerStarts(planned);
        for (ExecutorIndex index = 0; index < 4; ++index)
            m_scheduler.m_executors[index]->m_isReserved = false;
        return planned.front();
    }

    auto measure(const Action& start, std::int64_t latencyMs) -> void
    {
        m_now += Duration(600);
        auto* run = findRun(m_scheduler, start.m_task, start.m_run, start.m_executor);
        run->m_phase = RunPhase::Running;
        run->m_percent = 100;
        run->m_measurement = latencyMs;
        m_scheduler.m_executors[start.m_executor]->m_clockReadAt = m_now;
        observeLatencies(m_scheduler, m_now);
    }

    auto know(const std::string& affected, const std::string& other) -> void
    {
        m_scheduler.m_interference.m_verdicts[{ affected, other }] = { 0.4, 0.99, 10, m_now };
    }

    JobId m_nextJob = 200;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObserveInterferenceTest);

} // namespace hemlockvane::scheduling
