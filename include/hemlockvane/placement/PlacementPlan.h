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

/// @brief What the parts of one plan share.
struct PlacementPlan {
    const FleetState& m_fleet;
    PlacementState& m_state;
    const PlacementInput& m_input;
    FleetCapacity m_fleetCapacity;
    std::map<std::string, std::uint32_t, std::less<>> m_permits;
    std::vector<std::string_view> m_unplaced; ///< Waiting jobs that found no room, urgent ones excluded.
    std::map<std::string_view, PreemptionRequest> m_preemption; ///< Running jobs to be pressed.
    std::vector<PlacementAction> m_actions;
};

} // namespace hemlockvane
