#include "hemlockvane/placement/PlanPlacement.h"

#include "hemlockvane/placement/ParkWaitingJobs.h"
#include "hemlockvane/placement/PlaceWaitingJobs.h"
#include "hemlockvane/placement/PreemptTasks.h"
#include "hemlockvane/placement/TrackTasks.h"

namespace hemlockvane {

auto planPlacement(const FleetState& fleet, PlacementState& state, const PlacementInput& input)
    -> std::vector<PlacementAction>
{
    if (!input.m_mayPlace)
        return {};
    PlacementPlan plan { fleet, state, input, buildFleetCapacity(fleet, state, input.m_now, input.m_wallNow),
        input.m_permits, {}, {}, endLostAttempts(fleet, state, input.m_now) };
    parkWaitingJobs(plan);
    placeWaitingJobs(plan);
    requestPreemption(plan);
    preemptTasks(plan);
    return std::move(plan.m_actions);
}

} // namespace hemlockvane
