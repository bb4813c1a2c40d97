#pragma once

#include "hemlockvane/membership/MembershipAction.h"
#include "hemlockvane/membership/MembershipState.h"
#include "hemlockvane/membership/PlannerState.h"

#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief A planner for one entry.
/// @param duties every duty's name
auto makePlanner(std::string self, std::vector<std::string> duties, const PlannerLimits& limits, Instant now)
    -> PlannerState;

/// @brief Notes a message from a peer.
auto onPeerMessage(PlannerState& state, std::string_view peer, Instant now) -> void;

/// @brief Takes an answer of the instance list; an older one than known, or one that shows no entry at all,
/// is ignored.
auto onInstanceList(PlannerState& state, InstanceListView view) -> void;

/// @brief Decides what to append about entries and duties; to be called a few times a second while vouched.
///
/// An entry is removed when a fresh list shows it as failed or not at all and it has been silent. A duty without a
/// living holder is taken. For each subject the entries try in their rendezvous order, each a step later; the fold
/// rejects all but the first.
/// @complexity duties times entries
auto planMembership(PlannerState& state, const MembershipState& members, Instant now) -> std::vector<MembershipAction>;

/// @brief Steps of a planned stop: release every duty held; once none is held, leave the fleet.
auto planHandover(const PlannerState& state, const MembershipState& members) -> std::vector<MembershipAction>;

} // namespace hemlockvane
