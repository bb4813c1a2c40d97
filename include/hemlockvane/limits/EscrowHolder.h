#pragma once

#include "hemlockvane/limits/CapacityHistory.h"
#include "hemlockvane/limits/EscrowMessage.h"
#include "hemlockvane/limits/EscrowTiming.h"
#include "hemlockvane/limits/HolderDuty.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief Holder side of the escrow: the duties that this instance holds, and the state that every instance maintains
/// so that it can take over a duty.
struct EscrowHolder {
    EscrowTiming m_timing;
    CapacityHistory m_capacities; ///< Of all resources, whichever instance holds them; set by `setCapacity`.
    std::map<std::string, std::uint32_t, std::less<>> m_loggedPermits; ///< Permits used by jobs, from the log.
    Offset m_foldedEnd = 0; ///< Next offset to fold.
    std::map<std::string, Offset, std::less<>> m_members; ///< Members and the offsets at which they joined.
    Instant m_removalGraceEnd; ///< When the grace period of the last removed member ends.
    std::map<std::string, HolderDuty, std::less<>> m_duties; ///< Duties held by this instance.
};

/// @brief Sets a resource's capacity. Every instance calls this for every resource while it folds configuration.
///
/// If the new capacity is below the number of permits in hand (granted and not returned), permits are recalled, and
/// none is granted until enough of them were returned.
auto setCapacity(EscrowHolder& holder, std::string_view resource, std::uint32_t capacity, Instant now) -> void;

/// @brief Sets how many permits of a resource are used by running jobs, as counted from the log.
auto setLoggedPermits(EscrowHolder& holder, std::string_view resource, std::uint32_t permits) -> void;

/// @brief A member's JoinEntry was folded.
auto memberJoined(EscrowHolder& holder, std::string_view instance, Offset joinedAt) -> void;

/// @brief A member's RemoveEntry was folded. Call it also for members that were removed before this instance joined.
/// @param planned the member left with nothing in flight, so its permits are free at once
auto memberRemoved(EscrowHolder& holder, std::string_view instance, bool planned, Instant now) -> void;

/// @brief This instance has taken a duty with the record at `epoch`.
auto takeDuty(EscrowHolder& holder, std::string_view duty, Offset epoch) -> void;

/// @brief This instance does not hold a duty any more.
auto dropDuty(EscrowHolder& holder, std::string_view duty) -> void;

/// @brief Handles a member's report of its holdings. Duplicates are ignored.
auto receiveReport(EscrowHolder& holder, std::string_view sender, const wire::EscrowReport& report) -> void;

/// @brief Handles a member's demand. Duplicated and reordered messages are safe.
auto receiveDemand(EscrowHolder& holder, std::string_view sender, const wire::EscrowDemand& demand) -> void;

/// @brief Distributes a resource's permits by given targets instead of equal max-min fair shares of the demands.
/// @param targets permits that each member may keep; 0 for a member that is not in the map
auto setTargets(EscrowHolder& holder, std::string_view resource,
    const std::map<std::string, std::uint32_t, std::less<>>& targets) -> void;

/// @brief Sets the team shares that are sent to each member with its next grant.
auto setShares(EscrowHolder& holder, std::string_view resource,
    const std::map<std::string, std::vector<TeamShare>, std::less<>>& shares) -> void;

/// @brief Ledgers of a resource by member.
/// @result null if this instance does not hold the resource or its duty is not active yet
auto ledgersOf(const EscrowHolder& holder, std::string_view resource)
    -> const std::map<std::string, HolderLedger, std::less<>>*;

/// @brief Erases a resource that will not be used again; see `forgetResource` of EscrowMember.
/// @result false while it has a capacity or permits of it are charged to a member or removed member
auto forgetResource(EscrowHolder& holder, std::string_view resource) -> bool;

/// @brief True when this instance holds the duty and may grant its permits: all members that joined before its epoch
/// have reported or were removed.
auto isDutyActive(const EscrowHolder& holder, std::string_view duty) -> bool;

/// @brief Permits that may be granted now.
/// @result 0 if this instance does not hold the resource or its duty is not active yet
auto grantablePermits(const EscrowHolder& holder, std::string_view resource, Instant now) -> std::uint32_t;

/// @brief Messages to send now. Call after handling messages and every few milliseconds, but only while this instance
/// is vouched for (mayAct).
/// @complexity linear in resources times members of the duties held
auto dueMessages(EscrowHolder& holder, Instant now) -> std::vector<EscrowMessage>;

} // namespace hemlockvane
