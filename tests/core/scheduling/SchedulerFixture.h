#pragma once

#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/scheduling/ExecutorReport.h"
#include "hemlockvane/scheduling/RunOutcome.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/StartAnswer.h"

#include <cppunit/TestFixture.h>

#include <string>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief A scheduler with two executors of one service, on virtual time.
class SchedulerFixture : public CppUnit::TestFixture {
public:
    auto setUp() -> void override;

protected:
    static constexpr JobId job = 7;

    auto addExecutor(const std::string& id) -> ExecutorIndex;
    auto submit(std::vector<StepSpec> steps) -> void;
    static auto step(std::uint32_t tasks, std::int64_t cpuMillis) -> StepSpec;
    auto plan() -> std::vector<Action>;
    auto starts() -> std::vector<Action>; ///< Plans, and returns the starts only.
    auto startOne() -> Action; ///< Submits a job with one task and plans its start.
    auto answer(const Action& start, StartAnswer how, bool wasRepeated) -> void;
    auto takeOver() -> Action; ///< Starts one task, stores its run and restores it in a new scheduler.
    auto answerStarts(const std::vector<Action>& actions) -> void;
    auto reportEnd(const Action& start, RunOutcome kind) -> void;
    auto report(ExecutorIndex index, std::vector<ReportedRun> runs, std::vector<EndedRun> ends = {})
        -> std::vector<Action>;
    auto phase() -> JobPhase;

    Scheduler m_scheduler;
    Instant m_now { Duration(1000000) };
    WallMillis m_wall = 5000000;
    std::vector<std::uint64_t> m_endedRuns; ///< Number of ended runs reported so far, by executor index.
};

} // namespace hemlockvane::scheduling
