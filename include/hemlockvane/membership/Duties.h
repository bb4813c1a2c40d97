#pragma once

#include "hemlockvane/membership/DutyCounts.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief Duties that are held once in the fleet.
inline constexpr std::string_view placementDuty = "placement";
inline constexpr std::string_view maintenanceDuty = "maintenance";
inline constexpr std::string_view snapshotsDuty = "snapshots";

/// @brief Name of a claims duty, "claims/<slot>".
auto claimsDuty(std::uint32_t slot) -> std::string;

/// @brief Name of an escrow duty, "escrow/<slot>".
auto escrowDuty(std::uint32_t slot) -> std::string;

/// @brief Every duty, in a fixed order.
auto dutyNames(const DutyCounts& counts) -> std::vector<std::string>;

/// @brief How many of the candidates come before one in the rendezvous order of a subject, 0 for the first choice.
///
/// The order differs from subject to subject, so the duties of a lost entry are spread over all others; it changes
/// for a subject only when its first choice comes or goes.
/// @complexity linear in the candidates
auto rendezvousRank(std::string_view subject, std::span<const std::string> candidates, std::string_view candidate)
    -> std::size_t;

} // namespace hemlockvane
