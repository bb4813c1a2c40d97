#pragma once

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/placement/FleetCapacity.h"
#include "hemlockvane/placement/PlacementAction.h"
#include "hemlockvane/placement/PlacementInput.h"
#include "hemlockvane/placement/PlacementState.h"
#include "hemlockvane/placement/PreemptionRequest.h"

#include <map>
#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief Working state of one placement plan, shared by its steps.
struct PlacementPlan {
    const FleetState& m_fleet;
    PlacementState& m_state;
    const PlacementInput& m_input;
    FleetCapacity m_fleetCapacity;
    std::map<std::string, std::uint32_t, std::less<>> m_permits;
    std::vector<std::string_view> m_unplaced; ///< Non-urgent waiting jobs that found no worker.
    std::map<std::string_view, PreemptionRequest> m_preemption; ///< Preemption requests by running job.
    std::vector<PlacementAction> m_actions;
};

} // namespace hemlockvane
