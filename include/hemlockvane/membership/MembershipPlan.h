#pragma once

#include "hemlockvane/membership/MembershipAction.h"
#include "hemlockvane/membership/MembershipState.h"
#include "hemlockvane/membership/PlannerState.h"

#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief Makes the planner state of one entry.
/// @param duties names of all duties
auto makePlanner(std::string self, std::vector<std::string> duties, const PlannerLimits& limits, Instant now)
    -> PlannerState;

/// @brief A message was received from a peer.
auto onPeerMessage(PlannerState& state, std::string_view peer, Instant now) -> void;

/// @brief An instance list was received. A list that is older than the current one or shows no entry is ignored.
auto onInstanceList(PlannerState& state, InstanceListView view) -> void;

/// @brief Plans removals of entries and takeovers and releases of duties. Call a few times a second while vouched for.
///
/// An entry is removed if a recent list shows it as failed or not at all and it has sent no message for the timeout. A
/// duty whose holder is not a member is taken. The entries attempt the same action one after the other in the
/// rendezvous order of its subject; the fold accepts only the first attempt.
/// @complexity duties times entries
auto planMembership(PlannerState& state, const MembershipState& members, Instant now) -> std::vector<MembershipAction>;

/// @brief Plans the next actions of a planned stop: release all duties, then leave the fleet.
auto planHandover(const PlannerState& state, const MembershipState& members) -> std::vector<MembershipAction>;

} // namespace hemlockvane
