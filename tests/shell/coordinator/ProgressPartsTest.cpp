#include "hemlockvane/detail/coordinator/ProgressParts.h"

#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/ports/StoreLimits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::detail {

class ProgressPartsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProgressPartsTest);
    CPPUNIT_TEST(progress_largestJob_eachPartFitsIntoARecord);
    CPPUNIT_TEST(progress_taskAndItsRuns_areInOnePart);
    CPPUNIT_TEST(progress_smallJob_isOnePart);
    CPPUNIT_TEST(progress_withoutTasks_isOnePart);
    CPPUNIT_TEST(progress_otherOccurrence_isInOtherParts);
    CPPUNIT_TEST(part_checkpointsTooLarge_losesTheLargestOnly);
    CPPUNIT_TEST(records_beyondOneAppend_areDividedInOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a record that the store refuses, however often it is appended.
    auto progress_largestJob_eachPartFitsIntoARecord() -> void
    {
        constexpr std::uint32_t largestJob = 20000; // Tasks; intake refuses larger ones.
        const StoreLimits limits;
        std::size_t decoded = 0;
        for (const auto& [number, part] : divideProgress(spec(largestJob), progress(largestJob))) {
            const auto bytes = encodePart(part, limits.m_recordBytes);
            CPPUNIT_ASSERT(bytes.size() <= limits.m_recordBytes);
            decoded += decodeProgress(job, bytes)->m_tasks.size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { largestJob }, decoded);
    }

    auto progress_taskAndItsRuns_areInOnePart() -> void
    {
        const auto parts = divideProgress(spec(tasks), progress(tasks));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, parts.size());
        for (const auto& [number, part] : parts) {
            CPPUNIT_ASSERT_EQUAL(part.m_tasks.size(), part.m_runs.size());
            for (std::size_t index = 0; index < part.m_tasks.size(); ++index)
                CPPUNIT_ASSERT_EQUAL(part.m_tasks[index].m_index, part.m_runs[index].m_task.m_index);
        }
    }

    auto progress_smallJob_isOnePart() -> void
    {
        const auto whole = progress(tasksPerPart);
        const auto parts = divideProgress(spec(tasksPerPart), whole);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, parts.size());
        CPPUNIT_ASSERT_EQUAL(encodeProgress(whole), encodeProgress(parts.at(0)));
    }

    auto progress_withoutTasks_isOnePart() -> void
    {
        scheduling::JobProgress ended;
        ended.m_phase = scheduling::JobPhase::Completed;
        const auto parts = divideProgress(spec(tasks), ended);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, parts.size());
        CPPUNIT_ASSERT(parts.at(0).m_phase == scheduling::JobPhase::Completed);
    }

    auto progress_otherOccurrence_isInOtherParts() -> void
    {
        auto whole = progress(tasks);
        whole.m_tasks.at(0).m_occurrence = 1;
        const auto parts = divideProgress(spec(tasks), whole);
        CPPUNIT_ASSERT_EQUAL(1U, parts.at(tasks / tasksPerPart).m_tasks.front().m_occurrence);
    }

    auto part_checkpointsTooLarge_losesTheLargestOnly() -> void
    {
        auto whole = progress(2);
        whole.m_tasks[0].m_checkpoint = std::string(100, 'a');
        whole.m_tasks[1].m_checkpoint = std::string(2000, 'b');
        const auto kept = decodeProgress(job, encodePart(whole, 1000));
        CPPUNIT_ASSERT_EQUAL(whole.m_tasks[0].m_checkpoint, kept->m_tasks.at(0).m_checkpoint);
        CPPUNIT_ASSERT_EQUAL(std::string(), kept->m_tasks.at(1).m_checkpoint);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, kept->m_runs.size());
    }

    auto records_beyondOneAppend_areDividedInOrder() -> void
    {
        const std::vector<std::string> records { std::string(40, 'a'), std::string(40, 'b'), std::string(400, 'c'),
            "d" };
        const auto appends = divideRecords(records, 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, appends.size());
        CPPUNIT_ASSERT(appends[0] == std::vector<std::string>({ records[0], records[1] }));
        CPPUNIT_ASSERT(appends[1] == std::vector<std::string> { records[2] });
        CPPUNIT_ASSERT(appends[2] == std::vector<std::string> { records[3] });
    }

private:
    static constexpr scheduling::JobId job = 7;
    static constexpr std::uint32_t tasks = 3 * tasksPerPart + 1;

    static auto spec(std::uint32_t count) -> scheduling::JobSpec
    {
        scheduling::JobSpec made;
        made.m_steps.resize(1);
        made.m_steps[0].m_taskCount = count;
        return made;
    }

    // Progress of a job with one step, of which each task runs.
    static auto progress(std::uint32_t count) -> scheduling::JobProgress
    {
        scheduling::JobProgress made;
        made.m_phase = scheduling::JobPhase::Running;
        for (std::uint32_t index = 0; index < count; ++index) {
            scheduling::TaskProgress task;
            task.m_index = index;
            task.m_highestRun = 1;
            task.m_checkpoint = "00000bb87a21d94b";
            made.m_tasks.push_back(task);
            made.m_runs.push_back({ { job, 0, 0, index }, 1, "i-28ecba88f2" });
        }
        return made;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgressPartsTest);

} // namespace hemlockvane::detail
