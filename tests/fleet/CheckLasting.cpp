#include "CheckLasting.h"

#include "CheckRuns.h"

#include <algorithm>

namespace hemlockvane::fleetrun {

namespace {

// Whether the span has a part without disruption that is long enough, with the time before it that must be calm too.
auto isMissingInCalm(const TimeSpan& away, std::span<const TimeSpan> disruptions) -> bool
{
    auto calmFrom = std::int64_t { 0 };
    const auto isLongEnough = [&](std::int64_t calmUntil) {
        const auto from = std::max(away.m_from + restartMs, calmFrom + calmMs);
        return std::min(away.m_to, calmUntil) - from >= missingMs;
    };
    for (const auto& disruption : disruptions) {
        if (isLongEnough(disruption.m_from))
            return true;
        calmFrom = disruption.m_to;
    }
    return isLongEnough(away.m_to);
}

} // namespace

auto findMissing(std::string_view task, std::span<const StartedRun> runs, std::int64_t acceptedAt,
    std::span<const TimeSpan> disruptions, std::int64_t until) -> std::vector<std::string>
{
    std::vector<std::string> violations;
    auto awayFrom = acceptedAt;
    const StartedRun* last = nullptr;
    const auto check = [&](std::int64_t backAt) {
        if (isMissingInCalm({ awayFrom, backAt }, disruptions))
            violations.push_back("nothing of " + std::string(task) + " from " + std::to_string(awayFrom) + " to "
                + std::to_string(backAt) + (last == nullptr ? std::string() : ", after " + describe(*last)));
    };
    for (const auto& run : runs) {
        check(run.m_startedAt);
        const auto endedAt = run.m_endedAt == never ? until : run.m_endedAt;
        if (endedAt >= awayFrom)
            last = &run;
        awayFrom = std::max(awayFrom, endedAt);
    }
    check(until);
    return violations;
}

} // namespace hemlockvane::fleetrun
