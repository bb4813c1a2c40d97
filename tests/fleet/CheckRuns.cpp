#include "CheckRuns.h"

#include <string_view>

namespace hemlockvane::fleetrun {

namespace {

constexpr std::int64_t notedSlackMs = 1000;

auto timeText(std::int64_t at) -> std::string { return at == never ? "-" : std::to_string(at); }

auto jobOf(std::string_view task) -> std::string_view { return task.substr(0, task.find('.')); }

auto isNotedDone(const StartedRun& run) -> bool
{
    return run.m_how == "done" && run.m_notedAt != never && !run.m_hasLapsed;
}

} // namespace

auto describe(const StartedRun& run) -> std::string
{
    return "[" + run.m_task + " run " + std::to_string(run.m_run) + " on " + run.m_executor + " (" + run.m_service
        + ", " + run.m_zone + ") from " + run.m_starter + ", late " + (run.m_isLate ? "true" : "false") + ", start "
        + timeText(run.m_startedAt) + " stop " + timeText(run.m_stopAt) + " end " + timeText(run.m_endedAt) + " "
        + (run.m_how.empty() ? "-" : run.m_how) + " noted " + timeText(run.m_notedAt) + "]";
}

auto findTwice(std::span<const StartedRun> runs, const TimeByJob& completedAt, std::int64_t now)
    -> std::vector<std::string>
{
    std::vector<std::string> violations;
    std::map<std::string_view, std::vector<const StartedRun*>> earlierByTask;
    for (const auto& run : runs) {
        const auto hasTimeBound = run.m_isStarterInTouch && !run.m_isLate;
        const auto completed = completedAt.find(jobOf(run.m_task));
        if (hasTimeBound && completed != completedAt.end() && run.m_startedAt > completed->second + notedSlackMs)
            violations.push_back("a start after its job was shown as completed at " + timeText(completed->second) + ": "
                + describe(run));
        auto& earlier = earlierByTask[run.m_task];
        for (const auto* other : earlier) {
            const auto otherEnd = other->m_endedAt == never ? now : other->m_endedAt;
            if (!run.m_mayRunTwice && otherEnd > run.m_startedAt)
                violations.push_back("two runs at once: " + describe(*other) + " while " + describe(run));
            else if (!run.m_mayRunTwice && isNotedDone(*other))
                violations.push_back("a start after an end as done: " + describe(*other) + ", then " + describe(run));
            else if (hasTimeBound && isNotedDone(*other) && run.m_startedAt > other->m_notedAt + notedSlackMs)
                violations.push_back(
                    "a start after an end as done was noted: " + describe(*other) + ", then " + describe(run));
        }
        earlier.push_back(&run);
    }
    return violations;
}

} // namespace hemlockvane::fleetrun
