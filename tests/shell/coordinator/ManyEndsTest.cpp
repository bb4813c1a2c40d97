#include "shell/coordinator/OwnerFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::detail {

/// An executor on which more runs end during a takeover than one answer lists.
class ManyEndsTest : public OwnerFixture {
    CPPUNIT_TEST_SUITE(ManyEndsTest);
    CPPUNIT_TEST(takeover_endsInSeveralAnswers_eachTaskRunsOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against tasks that are started again since their ends are not in the first answer to the next owner.
    auto takeover_endsInSeveralAnswers_eachTaskRunsOnce() -> void
    {
        m_spec.m_steps[0].m_taskCount = tasks;
        m_spec.m_steps[0].m_perTask = { 1, 1, 0 };
        list(m_executor, "1");
        auto& life = m_executors.m_lives[m_executor];
        life.m_endsPerAnswer = 50;
        own(1, {});
        runUntil([this] { return m_executors.m_starts.size() == tasks; });
        m_coordinator->stop();
        std::uint64_t number = 0;
        for (const auto& run : std::exchange(life.m_runs, {}))
            life.m_ends.push_back({ ++number, run.m_task, run.m_run, scheduling::RunOutcome::Done, {} });
        own(2, {});
        runUntil([&] { return life.m_ends.empty(); });
        settle();
        CPPUNIT_ASSERT(life.m_ends.size() < life.m_endsPerAnswer);
        CPPUNIT_ASSERT_EQUAL(tasks, m_executors.m_starts.size());
    }

private:
    static constexpr std::size_t tasks = 180;
    const std::string m_executor = "executor-1";
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManyEndsTest);

} // namespace hemlockvane::detail
