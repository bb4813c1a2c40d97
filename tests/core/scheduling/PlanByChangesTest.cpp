#include "core/scheduling/FullScan.h"
#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/AttemptLimits.h"
#include "hemlockvane/scheduling/BlameCrashes.h"
#include "hemlockvane/scheduling/Evacuate.h"
#include "hemlockvane/scheduling/JobProgress.h"
#include "hemlockvane/scheduling/MeasureDemand.h"
#include "hemlockvane/scheduling/PaceFillers.h"
#include "hemlockvane/scheduling/PlanStarts.h"
#include "hemlockvane/scheduling/RequestAdvice.h"
#include "hemlockvane/scheduling/StoreProgress.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <random>
#include <sstream>

namespace hemlockvane::scheduling {

// Two schedulers get the same events in random order; one plans by a full scan each time.
class PlanByChangesTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(PlanByChangesTest);
    CPPUNIT_TEST(plans_randomEvents_startWhatAFullScanStarts);
    CPPUNIT_TEST(plans_randomEventsInAShortage_startWhatAFullScanStarts);
    CPPUNIT_TEST_SUITE_END();

public:
    auto plans_randomEvents_startWhatAFullScanStarts() -> void { playSeeds(1, 0.12); }
    auto plans_randomEventsInAShortage_startWhatAFullScanStarts() -> void { playSeeds(1001, 0.4); }

private:
    static constexpr std::uint32_t seedCount = 40;
    static constexpr int eventsPerSeed = 700;
    static constexpr int initialExecutors = 14;

    using Event = std::function<void(Scheduler&)>;

    // Starts by what makes them special, so that the test shows that it plays them.
    struct Played {
        std::size_t m_starts = 0;
        std::size_t m_duplicates = 0;
        std::size_t m_gangs = 0;
        std::size_t m_limited = 0;
        std::size_t m_labelled = 0;
        std::size_t m_advised = 0;
        std::size_t m_adviceRequests = 0;
        std::size_t m_trials = 0;
        std::size_t m_late = 0;
        std::size_t m_stops = 0;
        std::size_t m_waitingPlans = 0; // Plans after which a job waited.
        std::size_t m_reportedRetired = 0; // Runs that were reported after their job was retired.
        std::size_t m_drops = 0;
        std::size_t m_blockedDemands = 0;
        std::size_t m_waitingDemands = 0;
        std::size_t m_refusedDrops = 0;
    };

    auto playSeeds(std::uint32_t first, double submissions) -> void
    {
        m_played = {};
        for (auto seed = first; seed < first + seedCount; ++seed)
            playSeed(seed, submissions);
        std::printf("\nseeds %u to %u: starts=%zu duplicates=%zu gangs=%zu limited=%zu labelled=%zu advised=%zu "
                    "advice_requests=%zu trials=%zu late=%zu stops=%zu waiting_plans=%zu "
                    "reported_retired=%zu drops=%zu refused_drops=%zu blocked_demands=%zu waiting_demands=%zu\n",
            first, first + seedCount - 1, m_played.m_starts, m_played.m_duplicates, m_played.m_gangs,
            m_played.m_limited, m_played.m_labelled, m_played.m_advised, m_played.m_adviceRequests, m_played.m_trials,
            m_played.m_late, m_played.m_stops, m_played.m_waitingPlans, m_played.m_reportedRetired, m_played.m_drops,
            m_played.m_refusedDrops, m_played.m_blockedDemands, m_played.m_waitingDemands);
        for (const auto count : { m_played.m_starts, m_played.m_duplicates, m_played.m_gangs, m_played.m_limited,
                 m_played.m_labelled, m_played.m_advised, m_played.m_adviceRequests, m_played.m_trials, m_played.m_late,
                 m_played.m_waitingPlans, m_played.m_reportedRetired, m_played.m_drops, m_played.m_refusedDrops,
                 m_played.m_blockedDemands, m_played.m_waitingDemands })
            CPPUNIT_ASSERT(count > 0);
    }

    auto playSeed(std::uint32_t seed, double submissions) -> void
    {
        m_seed = seed;
        m_random.seed(seed);
        m_scheduler = {};
        m_reference = {};
        m_endedRuns.clear();
        m_starts.clear();
        m_adviceRequests.clear();
        m_nextJob = 1;
        m_now = Instant(Duration(1000000));
        m_wall = 5000000;
        both([&](Scheduler& scheduler) { setRules(scheduler); });
        for (int number = 0; number < initialExecutors; ++number)
            joinExecutor();
        for (m_event = 0; m_event < eventsPerSeed; ++m_event) {
            if (chance(submissions))
                submitJob();
            playEvent();
            if (chance(0.7))
                planBoth();
        }
    }

    auto both(const Event& event) -> void
    {
        event(m_scheduler);
        event(m_reference);
    }

    auto chance(double probability) -> bool { return std::bernoulli_distribution(probability)(m_random); }

    template <typename Number> auto between(Number least, Number most) -> Number
    {
        return std::uniform_int_distribution<Number>(least, most)(m_random);
    }

    template <typename Items> auto oneOf(const Items& items) -> const auto&
    {
        return items[between<std::size_t>(0, std::size(items) - 1)];
    }

    static auto setRules(Scheduler& scheduler) -> void
    {
        auto& rules = scheduler.m_rules;
        rules.m_queues["checks"] = { "counter", 0, 3, 2.0, 600, false };
        rules.m_queues["bulk"] = { "counter", 1, 2, 4.0, 2000, false };
        rules.m_queues["advised"] = { "counter", 0, 3, 2.0, 600, true };
        rules.m_queues["packing"] = { "packer", 0, 3, 1.5, 300, false };
        rules.m_workspaces["team"] = { 1, {} };
        rules.m_workspaces["small"] = { 1, { 9000, 0, 0 } };
        rules.m_unguardedServices = { "packer" };
    }

    auto randomEntry(const std::string& id) -> ExecutorEntry
    {
        static constexpr std::array<std::int64_t, 4> capacities { 4000, 8000, 8000, 12000 };
        ExecutorEntry entry;
        entry.m_id = id;
        entry.m_startedAtMs = 1;
        entry.m_service = chance(0.75) ? "counter" : "packer";
        entry.m_capacity = { oneOf(capacities), chance(0.3) ? 2000 : 16000, between<std::int64_t>(0, 1) };
        entry.m_labels = { chance(0.5) ? "a" : "b", "rack-" + std::to_string(between(0, 3)) };
        return entry;
    }

    auto joinExecutor() -> void
    {
        const auto entry = randomEntry("e" + std::to_string(m_endedRuns.size()));
        both([&](Scheduler& scheduler) { registerExecutor(scheduler, entry, m_now, m_now); });
        m_endedRuns.push_back(0);
        reportBoth(static_cast<ExecutorIndex>(m_endedRuns.size() - 1), {}, 1);
    }

    auto randomStep() -> StepSpec
    {
        auto made = step(between<std::uint32_t>(1, 8), between<std::int64_t>(1, 8) * 500);
        made.m_perTask.m_memoryMb = between<std::int64_t>(1, 10) * 100;
        made.m_perTask.m_gpus = chance(0.05) ? 1 : 0;
        made.m_estimateMs = between<std::int64_t>(20, 900);
        made.m_isGang = chance(0.12);
        made.m_allowsDuplicates = chance(0.4);
        made.m_perExecutorLimit = chance(0.25) ? between<std::uint32_t>(1, 2) : 0;
        made.m_isLongRunning = chance(0.1);
        made.m_targetMs = made.m_isLongRunning && chance(0.3) ? 50 : 0;
        made.m_isFiller = chance(0.05);
        made.m_maxUnavailable = between<std::uint32_t>(0, 2);
        if (chance(0.2))
            made.m_requiredLabel = chance(0.5) ? "b" : "rack-1";
        if (chance(0.2))
            made.m_dataRack = "rack-" + std::to_string(between(0, 4));
        return made;
    }

    auto submitJob() -> void
    {
        static const std::array<std::string, 5> queues { "checks", "bulk", "advised", "packing", "unknown" };
        JobSpec spec;
        spec.m_id = m_nextJob++;
        spec.m_queue = oneOf(queues);
        spec.m_workspace = chance(0.3) ? "small" : "team";
        spec.m_submittedAt = m_wall;
        const auto steps = between<std::uint32_t>(1, 3);
        for (std::uint32_t number = 0; number < steps; ++number) {
            spec.m_steps.push_back(randomStep());
            if (number > 0 && chance(0.6))
                spec.m_steps.back().m_after = { number - 1 };
        }
        if (chance(0.15)) {
            spec.m_occurrences = between<std::uint32_t>(1, 3);
            spec.m_firstDue = m_wall + between<std::int64_t>(0, 300);
            spec.m_intervalMs = between<std::int64_t>(0, 400);
        }
        both([&](Scheduler& scheduler) { addJob(scheduler, spec, m_now, m_wall); });
    }

    auto playEvent() -> void
    {
        using Play = void (PlanByChangesTest::*)();
        static const std::vector<std::pair<int, Play>> plays {
            { 30, &PlanByChangesTest::passTime },
            { 25, &PlanByChangesTest::answerStart },
            { 30, &PlanByChangesTest::endRun },
            { 12, &PlanByChangesTest::reportRuns },
            { 8, &PlanByChangesTest::answerAdvice },
            { 6, &PlanByChangesTest::sweep },
            { 4, &PlanByChangesTest::changeExecutor },
            { 3, &PlanByChangesTest::changeEntry },
            { 2, &PlanByChangesTest::loseExecutor },
            { 3, &PlanByChangesTest::crashAfterStart },
            { 2, &PlanByChangesTest::reportUnknownEnd },
            { 1, &PlanByChangesTest::joinExecutor },
            { 2, &PlanByChangesTest::endJob },
            { 1, &PlanByChangesTest::reportRetiredAndDrop },
            { 1, &PlanByChangesTest::changeRules },
        };
        std::vector<int> weights;
        for (const auto& play : plays)
            weights.push_back(play.first);
        const auto chosen = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
        (this->*plays[chosen].second)();
    }

    auto passTime() -> void
    {
        const auto time = chance(0.1) ? between<std::int64_t>(100, 1500) : between<std::int64_t>(1, 40);
        m_now += Duration(time);
        m_wall += time;
        if (chance(0.5))
            both([&](Scheduler& scheduler) { scheduler.m_registryReadAt = m_now; });
    }

    auto answerStart() -> void
    {
        if (m_starts.empty())
            return;
        const auto number = between<std::size_t>(0, m_starts.size() - 1);
        const auto start = m_starts[number];
        m_starts.erase(m_starts.begin() + static_cast<std::ptrdiff_t>(number));
        static constexpr std::array<StartAnswer, 8> refusals { StartAnswer::NoCapacity, StartAnswer::Refused,
            StartAnswer::Unknown, StartAnswer::Unknown, StartAnswer::BadTicket, StartAnswer::NotSent,
            StartAnswer::AlreadyEnded, StartAnswer::OtherIncarnation };
        const auto answer = chance(0.85) ? StartAnswer::Started : oneOf(refusals);
        const auto wasRepeated = chance(0.1);
        const auto isNoted = chance(0.9);
        both([&](Scheduler& scheduler) {
            if (isNoted)
                noteStartSent(scheduler, start, m_now);
            applyStartAnswer(scheduler, start.m_executor, start.m_task, start.m_run, answer, wasRepeated, m_now);
        });
    }

    auto endRun() -> void
    {
        const auto index = randomExecutor();
        if (m_scheduler.m_executors[index]->m_runs.empty())
            return;
        static constexpr std::array<RunOutcome, 8> outcomes { RunOutcome::Done, RunOutcome::Done, RunOutcome::Done,
            RunOutcome::Done, RunOutcome::Done, RunOutcome::Failed, RunOutcome::Failed, RunOutcome::Stopped };
        std::vector<EndedRun> ends;
        const auto runs = m_scheduler.m_executors[index]->m_runs;
        const auto count = between<std::size_t>(1, std::min<std::size_t>(runs.size(), 3));
        for (std::size_t number = 0; number < count; ++number)
            ends.push_back({ ++m_endedRuns[index], runs[number].m_task, runs[number].m_run, oneOf(outcomes), {} });
        reportBoth(index, ends, 0.98);
    }

    auto reportRuns() -> void { reportBoth(randomExecutor(), {}, 0.97); }

    auto answerAdvice() -> void
    {
        if (m_adviceRequests.empty())
            return;
        const auto request = m_adviceRequests.front();
        m_adviceRequests.erase(m_adviceRequests.begin());
        std::map<std::string, std::string> tickets;
        for (const auto& id : request.m_candidates) {
            if (chance(0.4))
                tickets[id] = "ticket-" + std::to_string(m_event);
        }
        const Duration validFor(between<std::int64_t>(10, 2000));
        both([&](Scheduler& scheduler) { applyAdvice(scheduler, request.m_task, tickets, validFor, m_now); });
    }

    auto sweep() -> void
    {
        const auto isRetiring = chance(0.5);
        const auto isAnswered = chance(0.7);
        std::vector<Action> actions;
        std::vector<Action> expected;
        both([&](Scheduler& scheduler) {
            expireLeases(scheduler, m_now);
            giveUpCrashingTasks(scheduler, m_wall);
        });
        planStops(m_scheduler, m_now, actions);
        planStopsByFullScan(m_reference, m_now, expected);
        CPPUNIT_ASSERT_EQUAL(textOf(expected), textOf(actions));
        m_played.m_stops += actions.size();
        retireJobs(m_scheduler);
        retireJobsByFullScan(m_reference);
        CPPUNIT_ASSERT(m_reference.m_active == m_scheduler.m_active);
        checkFillers();
        checkUse();
        both([&](Scheduler& scheduler) {
            std::vector<Action> paces;
            paceFillers(scheduler, m_now, paces);
            for (const auto& stop : actions) {
                if (isAnswered)
                    applyStopAnswer(scheduler, stop.m_executor, stop.m_task, stop.m_run, m_now);
            }
            markBatchStored(scheduler, scheduler.m_openBatch++);
            if (isRetiring)
                retireExecutors(scheduler);
        });
    }

    auto checkFillers() -> void
    {
        for (const auto& executor : m_scheduler.m_executors) {
            const auto fillers
                = std::count_if(executor->m_runs.begin(), executor->m_runs.end(), [&](const ExecutorRun& run) {
                      return findJob(m_scheduler, run.m_task.m_job)->m_spec.m_steps[run.m_task.m_step].m_isFiller;
                  });
            CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(fillers), executor->m_fillerRuns);
        }
    }

    auto checkDemand() -> void
    {
        const auto measured = measureDemand(m_scheduler, m_now);
        auto expected = measureTasksByFullScan(m_scheduler);
        for (const auto& [service, demand] : expected)
            CPPUNIT_ASSERT_MESSAGE(textOf({}), measured.contains(service));
        for (const auto& [service, demand] : measured) {
            const auto& tasks = expected[service];
            CPPUNIT_ASSERT_EQUAL_MESSAGE(textOf({}), tasks.m_runningMilliCores, demand.m_runningMilliCores);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(textOf({}), tasks.m_waitingMilliCores, demand.m_waitingMilliCores);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(textOf({}), tasks.m_blockedMilliCores, demand.m_blockedMilliCores);
            CPPUNIT_ASSERT_MESSAGE(textOf({}), tasks.m_executorsWanted == demand.m_executorsWanted);
            m_played.m_blockedDemands += demand.m_blockedMilliCores > 0 ? 1 : 0;
            m_played.m_waitingDemands += demand.m_waitingMilliCores > 0 ? 1 : 0;
        }
    }

    // Compares what executors and workspaces use with the sums over the runs.
    auto checkUse() -> void
    {
        std::map<std::string, Resources> usedByWorkspace;
        for (const auto& executor : m_scheduler.m_executors) {
            Resources used;
            for (const auto& run : executor->m_runs) {
                const auto* known = findJob(m_scheduler, run.m_task.m_job);
                CPPUNIT_ASSERT_MESSAGE(textOf({}), known != nullptr);
                const auto& spec = known->m_spec.m_steps[run.m_task.m_step];
                addTo(used, requiredResources(spec));
                addTo(usedByWorkspace[known->m_spec.m_workspace], spec.m_perTask);
            }
            CPPUNIT_ASSERT_MESSAGE(textOf({}), used == executor->m_used);
        }
        for (const auto& [workspace, used] : m_scheduler.m_usedByWorkspace)
            CPPUNIT_ASSERT_MESSAGE(textOf({}), usedByWorkspace[workspace] == used);
    }

    auto changeExecutor() -> void
    {
        const auto index = randomExecutor();
        const auto kind = between(0, 5);
        both([&](Scheduler& scheduler) {
            auto& executor = *scheduler.m_executors[index];
            if (kind == 0)
                executor.m_isReserved = !executor.m_isReserved;
            else if (kind == 1)
                executor.m_isLeaving = !executor.m_isLeaving;
            else if (kind == 2)
                executor.m_isMaintenanceDue = !executor.m_isMaintenanceDue;
            else if (kind == 3)
                evacuate(scheduler, index);
            else if (kind == 4)
                executor.m_backoffUntil = m_now + Duration(300);
            else if (kind == 5)
                markUnresponsive(executor, m_now);
        });
    }

    auto changeEntry() -> void
    {
        const auto index = randomExecutor();
        auto entry = m_scheduler.m_executors[index]->m_entry;
        const auto changed = randomEntry(entry.m_id);
        const auto kind = between(0, 4);
        if (kind == 0)
            entry.m_isDraining = !entry.m_isDraining;
        else if (kind == 1)
            entry.m_capacity = changed.m_capacity;
        else if (kind == 2)
            entry.m_labels = changed.m_labels;
        else if (kind == 3)
            entry.m_capacity.m_cpuMilliCores = between<std::int64_t>(1, 30) * 500;
        else
            entry.m_service = changed.m_service;
        both([&](Scheduler& scheduler) { registerExecutor(scheduler, entry, m_now, m_now); });
    }

    auto loseExecutor() -> void
    {
        const auto index = randomExecutor();
        const auto kind = between(0, 3);
        auto entry = m_scheduler.m_executors[index]->m_entry;
        ++entry.m_startedAtMs;
        both([&](Scheduler& scheduler) {
            if (kind == 0)
                unregisterExecutor(scheduler, entry.m_id);
            else if (kind == 1)
                markTerminated(scheduler, index, m_now);
            else if (kind == 2)
                markUnresponsive(*scheduler.m_executors[index], m_now);
            else
                registerExecutor(scheduler, entry, m_now, m_now);
        });
        if (kind == 3)
            m_endedRuns[index] = 0;
    }

    auto crashAfterStart() -> void
    {
        if (m_starts.empty())
            return;
        const auto start = oneOf(m_starts);
        const auto isCertain = chance(0.7);
        both([&](Scheduler& scheduler) {
            noteStartSent(scheduler, start, m_now);
            applyStartAnswer(
                scheduler, start.m_executor, start.m_task, start.m_run, StartAnswer::Started, false, m_now);
            if (isCertain)
                markTerminated(scheduler, start.m_executor, m_now);
            else
                markUnresponsive(*scheduler.m_executors[start.m_executor], m_now);
        });
        if (!isCertain)
            return;
        auto entry = m_scheduler.m_executors[start.m_executor]->m_entry;
        ++entry.m_startedAtMs;
        both([&](Scheduler& scheduler) { registerExecutor(scheduler, entry, m_now, m_now); });
        m_endedRuns[start.m_executor] = 0;
        reportBoth(start.m_executor, {}, 1);
    }

    // A run that an earlier owner started.
    auto reportUnknownEnd() -> void
    {
        const auto index = randomExecutor();
        constexpr JobId recentJobs = 8;
        const auto oldest = m_nextJob > recentJobs ? m_nextJob - recentJobs : 1;
        const TaskKey key { between<JobId>(oldest, m_nextJob), between(0U, 2U), between(0U, 1U), between(0U, 3U) };
        if (findJob(m_scheduler, key.m_job) == nullptr)
            return;
        const auto outcome = chance(0.7) ? RunOutcome::Done : RunOutcome::Failed;
        reportBoth(index, { { ++m_endedRuns[index], key, 60, outcome, {} } }, 0.98);
    }

    auto endJob() -> void
    {
        const auto id = between<JobId>(1, m_nextJob);
        const auto kind = between(0, 4);
        const auto hasEnded = chance(0.2);
        const auto isRetired = isEndedAndRetired(id);
        both([&](Scheduler& scheduler) {
            const auto* known = findJob(scheduler, id);
            if (kind <= 2)
                cancelJob(scheduler, id, m_wall);
            if (kind == 2)
                retireJobsByFullScan(scheduler);
            if (isRetired)
                dropJob(scheduler, id);
            else if (known != nullptr && kind > 2)
                restoreProgress(scheduler, id, laterProgress(scheduler, *known, hasEnded), m_now);
        });
        if (isRetired)
            ++(findJob(m_scheduler, id) == nullptr ? m_played.m_drops : m_played.m_refusedDrops);
    }

    // The event of a job that was found retired before its removal was stored, while executors may report its runs.
    auto reportRetiredAndDrop() -> void
    {
        const auto id = between<JobId>(1, m_nextJob);
        if (!isEndedAndRetired(id))
            return;
        const auto index = randomExecutor();
        if (chance(0.5)) {
            const auto hadRuns = m_scheduler.m_executors[index]->m_runs.size();
            reportBoth(index, {}, 1, { { { id, 0, 0, 0 }, 70, {}, 100, 0 } });
            m_played.m_reportedRetired += m_scheduler.m_executors[index]->m_runs.size() > hadRuns ? 1 : 0;
        }
        both([&](Scheduler& scheduler) { dropJob(scheduler, id); });
        ++(findJob(m_scheduler, id) == nullptr ? m_played.m_drops : m_played.m_refusedDrops);
    }

    auto isEndedAndRetired(JobId id) const -> bool
    {
        const auto* known = findJob(m_scheduler, id);
        return known != nullptr && isFinal(known->m_phase) && !m_scheduler.m_active.contains(id);
    }

    // With a task more that is done, or with the end of the job.
    static auto laterProgress(const Scheduler& scheduler, const Job& known, bool hasEnded) -> JobProgress
    {
        auto progress = progressOf(scheduler, known);
        const auto next = std::find_if(
            progress.m_tasks.begin(), progress.m_tasks.end(), [](const TaskProgress& task) { return !task.m_isDone; });
        if (next != progress.m_tasks.end())
            next->m_isDone = true;
        if (hasEnded)
            progress.m_phase = JobPhase::Completed;
        return progress;
    }

    auto changeRules() -> void
    {
        const auto kind = between(0, 5);
        auto rules = m_scheduler.m_rules;
        if (kind == 0)
            rules.m_queues["checks"].m_priority = between(0, 2);
        else if (kind == 1)
            rules.m_queues["bulk"].m_needsAdvice = !rules.m_queues["bulk"].m_needsAdvice;
        else if (kind == 2)
            rules.m_queues["unknown"] = { "counter", 1, 2, 3.0, 600, false };
        else if (kind == 3)
            rules.m_workspaces["small"].m_limit.m_cpuMilliCores = between<std::int64_t>(0, 20) * 1000;
        else if (kind == 4)
            rules.m_queues.erase("unknown");
        else
            rules.m_queues["bulk"].m_service = chance(0.5) ? "counter" : "packer";
        both([&](Scheduler& scheduler) { applyRules(scheduler, rules, m_wall); });
    }

    auto randomExecutor() -> ExecutorIndex
    {
        return between<ExecutorIndex>(0, static_cast<ExecutorIndex>(m_endedRuns.size() - 1));
    }

    // Reports each run that the scheduler knows with a probability.
    auto reportBoth(ExecutorIndex index, const std::vector<EndedRun>& ends, double shown,
        const std::vector<ReportedRun>& unknown = {}) -> void
    {
        const auto& executor = *m_scheduler.m_executors[index];
        ExecutorReport made;
        made.m_pollSentAt = m_now - Duration(between<std::int64_t>(0, 20));
        made.m_clockMs = m_now.time_since_epoch().count();
        made.m_startedAtMs = executor.m_entry.m_startedAtMs;
        made.m_endedRuns = ends;
        made.m_runs = unknown;
        for (const auto& run : executor.m_runs) {
            const auto hasEnded = std::any_of(ends.begin(), ends.end(),
                [&](const EndedRun& end) { return end.m_task == run.m_task && end.m_run == run.m_run; });
            if (!hasEnded && (shown >= 1 || chance(shown)))
                made.m_runs.push_back({ run.m_task, run.m_run, {}, 100, 0 });
        }
        if (chance(0.02))
            made.m_runs.push_back({ { between<JobId>(1, m_nextJob), between(0U, 1U), 0, 0 }, 9, {}, 100, 0 });
        both([&](Scheduler& scheduler) {
            std::vector<Action> actions;
            applyReport(scheduler, index, made, m_now, m_wall, actions);
        });
    }

    auto planBoth() -> void
    {
        std::vector<Action> actions;
        std::vector<Action> expected;
        planStarts(m_scheduler, m_now, m_wall, actions);
        planStartsByFullScan(m_reference, m_now, m_wall, expected);
        CPPUNIT_ASSERT_EQUAL(textOf(expected), textOf(actions));
        for (const auto& action : actions) {
            count(action);
            (action.m_kind == ActionKind::Start ? m_starts : m_adviceRequests).push_back(action);
        }
        checkDemand();
        const auto isWaiting = std::any_of(m_scheduler.m_active.begin(), m_scheduler.m_active.end(),
            [&](JobId id) { return findJob(m_scheduler, id)->m_phase == JobPhase::Queued; });
        m_played.m_waitingPlans += isWaiting ? 1 : 0;
    }

    auto count(const Action& action) -> void
    {
        if (action.m_kind != ActionKind::Start) {
            ++m_played.m_adviceRequests;
            return;
        }
        const auto& spec = findJob(m_scheduler, action.m_task.m_job)->m_spec.m_steps[action.m_task.m_step];
        const auto& trial = m_scheduler.m_executors[action.m_executor]->m_trial;
        ++m_played.m_starts;
        m_played.m_duplicates += findTask(m_scheduler, action.m_task)->m_runs.size() > 1 ? 1 : 0;
        m_played.m_gangs += spec.m_isGang ? 1 : 0;
        m_played.m_limited += spec.m_perExecutorLimit > 0 ? 1 : 0;
        m_played.m_labelled += spec.m_requiredLabel.empty() ? 0 : 1;
        m_played.m_advised += action.m_ticket.empty() ? 0 : 1;
        m_played.m_trials += trial && trial->m_task == action.m_task ? 1 : 0;
        m_played.m_late += std::string_view(action.m_reason) == "late" ? 1 : 0;
    }

    auto textOf(const std::vector<Action>& actions) const -> std::string
    {
        std::ostringstream text;
        text << "seed " << m_seed << " event " << m_event;
        for (const auto& action : actions) {
            const auto& task = action.m_task;
            text << '\n'
                 << static_cast<int>(action.m_kind) << " executor " << action.m_executor << " task " << task.m_job
                 << '/' << task.m_occurrence << '/' << task.m_step << '/' << task.m_index << " run " << action.m_run
                 << ' ' << action.m_reason << ' ' << action.m_ticket;
            for (const auto& id : action.m_candidates)
                text << ' ' << id;
        }
        return text.str();
    }

    Scheduler m_reference;
    std::mt19937 m_random;
    std::uint32_t m_seed = 0;
    int m_event = 0;
    JobId m_nextJob = 1;
    std::vector<Action> m_starts; // Without an answer yet.
    std::vector<Action> m_adviceRequests; // Without an answer yet.
    Played m_played;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlanByChangesTest);

} // namespace hemlockvane::scheduling
