#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockvane {

/// @brief Number of escrow duties. A resource belongs to the duty that its hash selects.
inline constexpr std::uint32_t escrowDutyCount = 16;

/// @brief Name of the resource for a team's upper limit.
auto teamLimitResource(std::string_view team) -> std::string;

/// @brief Name of the resource for an executor's slots.
auto executorSlotsResource(std::string_view service, std::string_view executor) -> std::string;

/// @brief Name of the resource under which an entry reports the demand of its queue for a service. The resource has no
/// permits.
auto serviceDemandResource(std::string_view service) -> std::string;

/// @brief Name of the duty of a resource, "escrow/<number>". All resources of one service have the same duty.
auto escrowDuty(std::string_view resource) -> std::string;

} // namespace hemlockvane
