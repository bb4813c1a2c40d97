#pragma once

#include "hemlockvane/limits/EscrowTiming.h"
#include "hemlockvane/limits/MemberPermits.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane::wire {
class EscrowDemand;
class EscrowGrant;
class EscrowReport;
class EscrowReportRequest;
} // namespace hemlockvane::wire

namespace hemlockvane {

struct CapacityHistory;

/// @brief Member side of the escrow: an entry's permits of every resource. They may be used at any time, whichever
/// instance holds the duty.
struct EscrowMember {
    EscrowTiming m_timing;
    std::map<std::string, Offset, std::less<>> m_epochs; ///< Newest epoch accepted, by duty.
    std::map<std::string, MemberPermits, std::less<>> m_resources;
};

/// @brief Takes one permit for use.
/// @result false when none is free or all free ones are recalled
auto tryAcquire(EscrowMember& member, std::string_view resource, Instant now) -> bool;

/// @brief Ends the use of one permit. The permit stays in hand unless it is recalled.
auto release(EscrowMember& member, std::string_view resource, Instant now) -> void;

/// @brief Returns one permit whose use is counted from the log, starting with the record at `offset`.
auto releaseToLog(EscrowMember& member, std::string_view resource, Offset offset) -> void;

/// @brief Sets the demand for a resource: permits in use plus permits that requests wait for.
auto setDemand(EscrowMember& member, std::string_view resource, std::uint32_t demand) -> void;

/// @brief Sets the demand by team of a resource that teams share.
auto setTeamDemands(EscrowMember& member, std::string_view resource, std::span<const TeamDemand> teams) -> void;

/// @brief Permits that can be acquired now.
auto permitsFree(const EscrowMember& member, std::string_view resource) -> std::uint32_t;

/// @brief Accepts an epoch that was read from the log and ignores older ones from now on.
/// @result false when a newer epoch was accepted already
auto adoptEpoch(EscrowMember& member, std::string_view duty, Offset epoch) -> bool;

/// @brief Reports this member's holdings to a new holder and ignores older epochs from now on. A repeated request gets
/// the same holdings.
/// @result empty if the request belongs to an older epoch
auto answerReportRequest(EscrowMember& member, const wire::EscrowReportRequest& request, const CapacityHistory& history,
    Instant now) -> std::optional<wire::EscrowReport>;

/// @brief Handles a grant. A grant of another epoch is ignored; duplicated and reordered grants are safe.
auto receiveGrant(EscrowMember& member, const wire::EscrowGrant& grant, Instant now) -> void;

/// @brief Erases a resource that will not be used again, such as that of an executor that left the instance list.
///
/// Call only after its capacity has been 0 for longer than any message can be delayed.
/// @result false while permits of it are in hand
auto forgetResource(EscrowMember& member, std::string_view resource) -> bool;

/// @brief Demands to send now, each to the holder of the duty that its fence names. Call after changes and every few
/// milliseconds.
/// @complexity linear in the number of resources
auto dueDemands(EscrowMember& member, Instant now) -> std::vector<wire::EscrowDemand>;

} // namespace hemlockvane
