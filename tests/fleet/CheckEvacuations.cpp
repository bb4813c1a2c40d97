#include "CheckEvacuations.h"

#include "CheckRuns.h"

namespace hemlockvane::fleetrun {

namespace {

constexpr std::int64_t evacuateMs = 5000;

auto isInForce(const Evacuation& evacuation, const StartedRun& run) -> bool
{
    return run.m_zone == evacuation.m_zone && run.m_startedAt > evacuation.m_requestedAt + evacuateMs
        && (evacuation.m_restoredAt == never || run.m_startedAt < evacuation.m_restoredAt);
}

} // namespace

auto findInEvacuatedZones(std::span<const StartedRun> runs, std::span<const Evacuation> evacuations)
    -> std::vector<std::string>
{
    std::vector<std::string> violations;
    for (const auto& run : runs) {
        if (!run.m_isStarterInTouch || run.m_isLate)
            continue;
        for (const auto& evacuation : evacuations) {
            if (isInForce(evacuation, run))
                violations.push_back("a start in a zone evacuated at " + std::to_string(evacuation.m_requestedAt) + ": "
                    + describe(run));
        }
    }
    return violations;
}

} // namespace hemlockvane::fleetrun
