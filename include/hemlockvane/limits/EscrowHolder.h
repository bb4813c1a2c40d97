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

/// @brief Escrow of the resources whose duties this instance holds, and what every instance keeps to take one over.
struct EscrowHolder {
    EscrowTiming m_timing;
    CapacityHistory m_capacities; ///< Of all resources, whoever holds them; kept by `setCapacity`.
    std::map<std::string, std::uint32_t, std::less<>> m_loggedPermits; ///< Permits whose use the log counts (jobs).
    Offset m_foldedEnd = 0; ///< Next offset to fold.
    std::map<std::string, Offset, std::less<>> m_members; ///< Live members and where they joined.
    Instant m_removalGraceEnd; ///< By then nothing of a removed member runs.
    std::map<std::string, HolderDuty, std::less<>> m_duties; ///< Held by this instance.
};

/// @brief Sets a resource's capacity; every instance does so for every resource as it folds configuration.
///
/// When it is lowered below what is in hand, permits are recalled and none is granted until enough came back.
auto setCapacity(EscrowHolder& holder, std::string_view resource, std::uint32_t capacity, Instant now) -> void;

/// @brief Sets how many permits of a resource are used by running jobs according to the fold.
auto setLoggedPermits(EscrowHolder& holder, std::string_view resource, std::uint32_t permits) -> void;

/// @brief A member's JoinEntry was folded.
auto memberJoined(EscrowHolder& holder, std::string_view instance, Offset joinedAt) -> void;

/// @brief A member's RemoveEntry was folded; also one that was removed before this instance joined.
/// @param planned it left with nothing in flight, so nothing of it is charged
auto memberRemoved(EscrowHolder& holder, std::string_view instance, bool planned, Instant now) -> void;

/// @brief This instance holds a duty since the record at `epoch`.
auto takeDuty(EscrowHolder& holder, std::string_view duty, Offset epoch) -> void;

/// @brief This instance holds a duty no more.
auto dropDuty(EscrowHolder& holder, std::string_view duty) -> void;

/// @brief Takes in a member's report; repeated ones change nothing.
auto receiveReport(EscrowHolder& holder, std::string_view sender, const wire::EscrowReport& report) -> void;

/// @brief Takes in a member's demand; repeated and late ones do no harm.
auto receiveDemand(EscrowHolder& holder, std::string_view sender, const wire::EscrowDemand& demand) -> void;

/// @brief Gives a resource's permits by targets instead of by equal max-min of the wanted permits.
/// @param targets permits each member may keep; a member that is missing may keep none
auto setTargets(EscrowHolder& holder, std::string_view resource,
    const std::map<std::string, std::uint32_t, std::less<>>& targets) -> void;

/// @brief Tells members their parts by team with their next grants.
auto setShares(EscrowHolder& holder, std::string_view resource,
    const std::map<std::string, std::vector<TeamShare>, std::less<>>& shares) -> void;

/// @brief Ledgers of a resource by member.
/// @result null when this instance does not hold the resource or its barrier is not passed
auto ledgersOf(const EscrowHolder& holder, std::string_view resource)
    -> const std::map<std::string, HolderLedger, std::less<>>*;

/// @brief Forgets a resource that will not come back; see the member's `forgetResource`.
/// @result false while it has a capacity, or permits of it are charged to anybody
auto forgetResource(EscrowHolder& holder, std::string_view resource) -> bool;

/// @brief True when the barrier of the duty is passed, so that permits are granted.
auto isDutyActive(const EscrowHolder& holder, std::string_view duty) -> bool;

/// @brief Permits that may be granted now.
/// @result 0 when this instance does not hold the resource
auto grantablePermits(const EscrowHolder& holder, std::string_view resource, Instant now) -> std::uint32_t;

/// @brief Messages to send now. Call after messages were taken in and every few milliseconds, only while vouched for.
/// @complexity linear in resources times members of the duties held
auto dueMessages(EscrowHolder& holder, Instant now) -> std::vector<EscrowMessage>;

} // namespace hemlockvane
