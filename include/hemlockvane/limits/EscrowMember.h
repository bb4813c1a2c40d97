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

/// @brief An entry instance's permits of every resource. Each may be used at any time, whoever holds the duty.
struct EscrowMember {
    EscrowTiming m_timing;
    std::map<std::string, Offset, std::less<>> m_epochs; ///< Newest epoch obeyed, by duty.
    std::map<std::string, MemberPermits, std::less<>> m_resources;
};

/// @brief Takes one permit for use.
/// @result false when none is free, or those that are free are recalled
auto tryAcquire(EscrowMember& member, std::string_view resource, Instant now) -> bool;

/// @brief Ends the use of one permit; it stays in hand unless it is recalled.
auto release(EscrowMember& member, std::string_view resource, Instant now) -> void;

/// @brief Ends the use of one permit whose use the log counts from the record at `offset` on.
auto releaseToLog(EscrowMember& member, std::string_view resource, Offset offset) -> void;

/// @brief Sets how many permits could be used now: those in use and those that requests wait for.
auto setDemand(EscrowMember& member, std::string_view resource, std::uint32_t wanted) -> void;

/// @brief Sets the demand by team of a resource that teams share.
auto setTeamDemands(EscrowMember& member, std::string_view resource, std::span<const TeamDemand> teams) -> void;

/// @brief Permits that can be acquired now.
auto permitsFree(const EscrowMember& member, std::string_view resource) -> std::uint32_t;

/// @brief Obeys an epoch read from the log and ignores older ones from now on.
/// @result false when a newer epoch is obeyed already
auto adoptEpoch(EscrowMember& member, std::string_view duty, Offset epoch) -> bool;

/// @brief Answers a new holder; promises to ignore older epochs. Repeated requests get the same holdings.
/// @result empty when the request is of an older epoch
auto answerReportRequest(EscrowMember& member, const wire::EscrowReportRequest& request, const CapacityHistory& history,
    Instant now) -> std::optional<wire::EscrowReport>;

/// @brief Takes in a grant; a grant of another epoch is ignored, a repeated or late one does no harm.
auto receiveGrant(EscrowMember& member, const wire::EscrowGrant& grant, Instant now) -> void;

/// @brief Forgets a resource that will not come back, such as an executor long off the instance list.
///
/// Call when its capacity has been 0 for longer than any message can be late.
/// @result false while permits of it are in hand
auto forgetResource(EscrowMember& member, std::string_view resource) -> bool;

/// @brief Demands to send now, for the holders of their fences' duties. Call after changes and every few milliseconds.
/// @complexity linear in the number of resources
auto dueDemands(EscrowMember& member, Instant now) -> std::vector<wire::EscrowDemand>;

} // namespace hemlockvane
