#include "hemlockvane/placement/PlanPlacement.h"

#include "hemlockvane/placement/ParkWaiting.h"
#include "hemlockvane/placement/PlaceWaiting.h"
#include "hemlockvane/placement/PressTasks.h"
#include "hemlockvane/placement/TrackTasks.h"

namespace hemlockvane {

auto planPlacement(const FleetState& fleet, PlacementState& state, const PlacementInput& input)
    -> std::vector<PlacementAction>
{
    if (!input.m_mayPlace)
        return {};
    PlacementPlan plan { fleet, state, input, buildRoom(fleet, state, input.m_now, input.m_wallNow), input.m_permits,
        {}, {}, endLostAttempts(fleet, state, input.m_now) };
    parkWaiting(plan);
    placeWaiting(plan);
    requestPressure(plan);
    pressTasks(plan);
    return std::move(plan.m_actions);
}

} // namespace hemlockvane
