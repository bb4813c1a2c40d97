#include "hemlockvane/scheduling/ShareRoom.h"

#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace hemlockvane::scheduling {

/// Two executors of 8 cores and 16,000 MB serve the workspaces "team" and "other", which compete for them.
class ShareRoomTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(ShareRoomTest);
    CPPUNIT_TEST(starts_roomForAll_followDeadlinesOnly);
    CPPUNIT_TEST(starts_oneSendsMany_othersGetTheirShare);
    CPPUNIT_TEST(starts_sharesNotEnabled_followDeadlinesOnly);
    CPPUNIT_TEST(starts_weights_divideTheRoom);
    CPPUNIT_TEST(starts_othersAskForLess_restGoesToWhoeverAsks);
    CPPUNIT_TEST(starts_runningTasks_countTowardsTheShare);
    CPPUNIT_TEST(starts_higherPriority_comesFirstBeyondItsShare);
    CPPUNIT_TEST(starts_lateJobOfWorkspaceWithinShare_comesAfterTimelyOnes);
    CPPUNIT_TEST(starts_longRunningTask_keepsItsPlace);
    CPPUNIT_TEST(starts_memoryIsScarce_sharesMemory);
    CPPUNIT_TEST(shares_oneWorkspace_areNotComputed);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        SchedulerFixture::setUp();
        m_nextJob = 100;
        m_scheduler.m_sharesPools = true;
        m_scheduler.m_rules.m_workspaces["other"] = { 1, {} };
        m_scheduler.m_rules.m_queues["urgent"] = m_scheduler.m_rules.m_queues["checks"];
        m_scheduler.m_rules.m_queues["checks"].m_priority = 1;
    }

    // Guards against a change for deployments that have room for everything.
    auto starts_roomForAll_followDeadlinesOnly() -> void
    {
        send("team", 7);
        send("other", 7);
        const auto order = startedBy();
        CPPUNIT_ASSERT_EQUAL(7, order.at("team"));
        CPPUNIT_ASSERT_EQUAL(7, order.at("other"));
        CPPUNIT_ASSERT(m_scheduler.m_contendedPools.empty());
    }

    // Guards against a workspace that sends many times its usual and takes the place of the others.
    auto starts_oneSendsMany_othersGetTheirShare() -> void
    {
        send("team", 60);
        send("other", 8);
        const auto started = startedBy();
        CPPUNIT_ASSERT_EQUAL(8, started.at("team"));
        CPPUNIT_ASSERT_EQUAL(8, started.at("other"));
    }

    auto starts_sharesNotEnabled_followDeadlinesOnly() -> void
    {
        m_scheduler.m_sharesPools = false;
        send("team", 60);
        send("other", 8);
        const auto started = startedBy();
        CPPUNIT_ASSERT_EQUAL(16, started.at("team"));
        CPPUNIT_ASSERT(!started.contains("other"));
    }

    auto starts_weights_divideTheRoom() -> void
    {
        m_scheduler.m_rules.m_workspaces["other"].m_weight = 3;
        send("team", 60);
        send("other", 60);
        const auto started = startedBy();
        CPPUNIT_ASSERT_EQUAL(4, started.at("team"));
        CPPUNIT_ASSERT_EQUAL(12, started.at("other"));
    }

    // Guards against room that stays empty because its owner does not need it.
    auto starts_othersAskForLess_restGoesToWhoeverAsks() -> void
    {
        send("team", 60);
        send("other", 3);
        const auto started = startedBy();
        CPPUNIT_ASSERT_EQUAL(13, started.at("team"));
        CPPUNIT_ASSERT_EQUAL(3, started.at("other"));
    }

    auto starts_runningTasks_countTowardsTheShare() -> void
    {
        send("team", 8);
        CPPUNIT_ASSERT_EQUAL(8, startedBy().at("team"));
        send("team", 8);
        send("other", 8);
        const auto started = startedBy();
        CPPUNIT_ASSERT(!started.contains("team"));
        CPPUNIT_ASSERT_EQUAL(8, started.at("other"));
    }

    // Guards against urgent work that waits for less urgent work because of a share.
    auto starts_higherPriority_comesFirstBeyondItsShare() -> void
    {
        send("other", 60);
        send("team", 60, "urgent");
        const auto started = startedBy();
        CPPUNIT_ASSERT_EQUAL(16, started.at("team"));
        CPPUNIT_ASSERT(!started.contains("other"));
    }

    // Guards against work that is too late for its caller and takes the place of work that is not.
    auto starts_lateJobOfWorkspaceWithinShare_comesAfterTimelyOnes() -> void
    {
        send("other", 8);
        m_wall += 60000;
        send("team", 60);
        const auto started = startedBy();
        CPPUNIT_ASSERT_EQUAL(16, started.at("team"));
    }

    auto starts_longRunningTask_keepsItsPlace() -> void
    {
        auto serving = step(4, 1000);
        serving.m_isLongRunning = true;
        add("team", { serving }, "checks");
        send("team", 60);
        send("other", 60);
        const auto started = startedBy();
        CPPUNIT_ASSERT_EQUAL(4 + 6, started.at("team"));
        CPPUNIT_ASSERT_EQUAL(6, started.at("other"));
    }

    auto starts_memoryIsScarce_sharesMemory() -> void
    {
        auto large = step(60, 100);
        large.m_perTask.m_memoryMb = 4000;
        add("team", { large }, "checks");
        large.m_taskCount = 4;
        add("other", { large }, "checks");
        const auto started = startedBy();
        CPPUNIT_ASSERT_EQUAL(4, started.at("team"));
        CPPUNIT_ASSERT_EQUAL(4, started.at("other"));
    }

    auto shares_oneWorkspace_areNotComputed() -> void
    {
        send("team", 60);
        CPPUNIT_ASSERT_EQUAL(16, startedBy().at("team"));
        CPPUNIT_ASSERT(m_scheduler.m_contendedPools.empty());
    }

private:
    // Sends a job with tasks of one core. All jobs have the same deadline, so the earlier id comes first.
    auto send(const std::string& workspace, std::uint32_t tasks, const std::string& queue = "checks") -> void
    {
        add(workspace, { step(tasks, 1000) }, queue);
    }

    auto add(const std::string& workspace, std::vector<StepSpec> steps, const std::string& queue) -> void
    {
        JobSpec spec;
        spec.m_id = m_nextJob++;
        spec.m_queue = queue;
        spec.m_workspace = workspace;
        spec.m_steps = std::move(steps);
        spec.m_submittedAt = m_wall;
        addJob(m_scheduler, std::move(spec), m_now, m_wall);
    }

    auto startedBy() -> std::map<std::string, int>
    {
        std::map<std::string, int> started;
        for (const auto& start : starts())
            ++started[findJob(m_scheduler, start.m_task.m_job)->m_spec.m_workspace];
        return started;
    }

    JobId m_nextJob = 100;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShareRoomTest);

} // namespace hemlockvane::scheduling
