#include "hemlockvane/scheduling/MeasureJobMemory.h"

#include "core/scheduling/SchedulerFixture.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace hemlockvane::scheduling {

/// What jobs take of the owner's memory. Guards against a limit that counts something else than what grows.
class MeasureJobMemoryTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(MeasureJobMemoryTest);
    CPPUNIT_TEST(memory_growsWithPayloadAndSteps);
    CPPUNIT_TEST(memory_growsNeitherWithTasksNorWithOccurrences);
    CPPUNIT_TEST(jobs_added_areCountedByWorkspace);
    CPPUNIT_TEST(tasks_started_areCounted);
    CPPUNIT_TEST(job_ended_isCountedWithoutPayload);
    CPPUNIT_TEST(job_dropped_isNotCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    auto memory_growsWithPayloadAndSteps() -> void
    {
        auto spec = specOf(1);
        const auto least = memoryOf(spec);
        spec.m_payload = std::string(4000, 'x');
        CPPUNIT_ASSERT_EQUAL(least + 4000, memoryOf(spec));
        CPPUNIT_ASSERT(memoryOf(specOf(1000)) >= 1000 * (sizeof(StepSpec) + sizeof(StepState)));
    }

    auto memory_growsNeitherWithTasksNorWithOccurrences() -> void
    {
        auto spec = specOf(1);
        const auto least = memoryOf(spec);
        spec.m_steps[0].m_taskCount = 20000;
        CPPUNIT_ASSERT_EQUAL(least, memoryOf(spec));
        spec.m_occurrences = 20000;
        CPPUNIT_ASSERT(memoryOf(spec) < 4 * least);
    }

    auto jobs_added_areCountedByWorkspace() -> void
    {
        submit({ step(1, 1000) });
        const auto bytes = findJob(m_scheduler, job)->m_memory;
        CPPUNIT_ASSERT(bytes > 0);
        CPPUNIT_ASSERT_EQUAL(bytes, m_scheduler.m_jobMemory.m_total);
        CPPUNIT_ASSERT_EQUAL(bytes, m_scheduler.m_jobMemory.m_byWorkspace.at("team"));
    }

    auto tasks_started_areCounted() -> void
    {
        submit({ step(4, 1000) });
        const auto before = findJob(m_scheduler, job)->m_memory;
        answerStarts(starts());
        plan();
        CPPUNIT_ASSERT(findJob(m_scheduler, job)->m_memory >= before + 4 * sizeof(TaskState));
    }

    auto job_ended_isCountedWithoutPayload() -> void
    {
        const auto start = startOne();
        const auto before = m_scheduler.m_jobMemory.m_total;
        answerStarts({ start });
        reportEnd(start, RunOutcome::Done);
        plan();
        CPPUNIT_ASSERT(phase() == JobPhase::Completed);
        CPPUNIT_ASSERT(m_scheduler.m_jobMemory.m_total < before);
        CPPUNIT_ASSERT(findJob(m_scheduler, job)->m_occurrences.empty());
    }

    auto job_dropped_isNotCounted() -> void
    {
        submit({ step(1, 1000) });
        cancelJob(m_scheduler, job, m_wall);
        CPPUNIT_ASSERT(dropJob(m_scheduler, job));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_scheduler.m_jobMemory.m_total);
        CPPUNIT_ASSERT(m_scheduler.m_jobMemory.m_byWorkspace.empty());
    }

private:
    static auto specOf(std::size_t steps) -> JobSpec
    {
        JobSpec spec;
        spec.m_steps.resize(steps);
        return spec;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MeasureJobMemoryTest);

} // namespace hemlockvane::scheduling
