#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockvane {

/// @brief Number of escrow duties; each holds the resources that hash to it.
inline constexpr std::uint32_t escrowDutyCount = 16;

/// @brief Resource of a team's upper limit.
auto teamLimitResource(std::string_view team) -> std::string;

/// @brief Resource of an executor's slots.
auto executorSlotsResource(std::string_view service, std::string_view executor) -> std::string;

/// @brief Resource under which an entry reports what its queue for a service wants; it has no permits of its own.
auto serviceDemandResource(std::string_view service) -> std::string;

/// @brief Duty that holds a resource, "escrow/<number>"; all resources of one service share a duty.
auto escrowDuty(std::string_view resource) -> std::string;

} // namespace hemlockvane
